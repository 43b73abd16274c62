package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/platform"
	"github.com/mastwheel/mastwheel/platform/standin"
)

// site is a stand-in deployment with instances in front of it.
type site struct {
	*standin.Deployment
	t         *testing.T
	instances []*running
	client    *http.Client
	next      int
}

// running is one instance.
type running struct {
	settings platform.Settings
	stop     context.CancelFunc
	kill     context.CancelFunc
	done     chan error
}

// startSite starts a deployment and instances, and waits until they are ready.
func startSite(t *testing.T, instances int) *site {
	t.Helper()
	d, err := standin.StartDeployment(2, 3, 2)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{Deployment: d, t: t, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(s.end)
	for range instances {
		s.start()
	}
	for _, r := range s.instances {
		s.until("instance is ready", func() bool {
			select {
			case err := <-r.done:
				t.Fatalf("the instance ended: %v", err)
			default:
			}
			return s.ready(r)
		})
	}
	return s
}

// start starts one more instance.
func (s *site) start() *running {
	s.t.Helper()
	var seeds []string
	for _, r := range s.instances {
		seeds = append(seeds, r.settings.Siblings)
	}
	raw, err := s.Settings(fmt.Sprintf("front-%d", len(s.instances)), 1.5, seeds...)
	if err != nil {
		s.t.Fatal(err)
	}
	settings, err := platform.ParseSettings(raw)
	if err != nil {
		s.t.Fatal(err)
	}
	instance, err := NewPlatform(settings, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(context.Background())
	r := &running{settings: settings, stop: stop, kill: kill, done: make(chan error, 1)}
	go func() { r.done <- instance.Run(ctx, stopped) }()
	s.instances = append(s.instances, r)
	return r
}

func (s *site) end() {
	for _, r := range s.instances {
		r.kill()
		<-r.done
	}
	s.client.CloseIdleConnections()
	s.Close()
}

// until waits for a condition; it fails the test only when the condition never
// comes, so that a slow machine does not.
func (s *site) until(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("never came: %s", what)
}

func (s *site) ready(r *running) bool {
	response, err := s.client.Get("http://" + r.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request to an instance; change may alter it.
func (s *site) send(r *running, method, path string, change func(*http.Request)) answer {
	s.t.Helper()
	s.next++
	return s.sendID(fmt.Sprintf("%s-%d", strings.Trim(path, "/"), s.next), r, method, path, change)
}

func (s *site) sendID(id string, r *running, method, path string, change func(*http.Request)) answer {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+r.settings.Callers+path, strings.NewReader(""))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set("Mastwheel-Attempt-Id", id)
	request.Header.Set("Mastwheel-Deadline-Ms", "14000")
	if strings.HasPrefix(path, standin.PathStream) || strings.HasPrefix(path, standin.PathResume) {
		request.Header.Set("Mastwheel-Model", "m")
		request.Header.Set("Mastwheel-Token-Counts", "1460,80")
		request.Header.Set("Mastwheel-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")
	}
	if change != nil {
		change(request)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// ran counts how often a request ran anywhere.
func (s *site) ran(id string) int {
	count := 0
	for _, server := range s.Servers() {
		for _, run := range server.Runs() {
			if run.Attempt == id {
				count++
			}
		}
	}
	return count
}

// nothingLeft waits until no reservation and no prefill result is left over.
// The stand-in engines do not fetch from each other, so results that were
// handed to a decode engine are taken here.
func (s *site) nothingLeft() {
	s.t.Helper()
	for _, decode := range s.Decode {
		for _, run := range decode.Runs() {
			_, handle, _ := strings.Cut(run.Source, "/")
			for _, prefill := range s.Prefill {
				prefill.Taken(handle)
			}
		}
	}
	s.until("everything is given back", func() bool {
		for _, server := range s.Servers() {
			if holds, handles := server.Left(); holds+handles > 0 {
				return false
			}
		}
		return true
	})
}

func (s *site) behaveAll(servers []*standin.Server, change func(*standin.Behaviour)) {
	for _, server := range servers {
		server.Behave(change)
	}
}

func TestPlatformServesEachKindOfRequest(t *testing.T) {
	s := startSite(t, 2)
	for _, r := range s.instances {
		got := s.send(r, "GET", standin.PathSafe+"x?q=%2F..%2F", nil)
		if got.status != 200 || got.body != "answer to "+got.id || got.header.Get("Mastwheel-Server-Signature") == "" {
			t.Fatalf("safe: %+v", got)
		}
		got = s.send(r, "POST", standin.PathUnsafe+"x", nil)
		if got.status != 200 || s.ran(got.id) != 1 {
			t.Fatalf("unsafe: %+v, ran %d times", got, s.ran(got.id))
		}
		got = s.send(r, "POST", standin.PathStream+"x", nil)
		if got.status != 200 || strings.Count(got.body, "data: "+got.id) != 5 || got.err != nil {
			t.Fatalf("stream: %+v", got)
		}
		if s.ran(got.id) != 1 {
			t.Fatalf("stream ran %d times", s.ran(got.id))
		}
		if got = s.send(r, "GET", "/nowhere/", nil); got.status != 404 {
			t.Fatalf("no route: %+v", got)
		}
	}
	s.nothingLeft()
}

func TestPlatformPassesRequestsOnUnchanged(t *testing.T) {
	s := startSite(t, 1)
	got := s.send(s.instances[0], "GET", standin.PathSafe+"a/%2e%2e/b?x=1&y=%20", nil)
	for _, server := range s.Plain {
		for _, run := range server.Runs() {
			if run.Attempt == got.id && run.Path != standin.PathSafe+"a/%2e%2e/b?x=1&y=%20" {
				t.Fatalf("path changed to %q", run.Path)
			}
			if run.Attempt == got.id && (run.Deadline > 1500 || run.Deadline < 1) {
				t.Fatalf("the server was given %d ms", run.Deadline)
			}
		}
	}
}

func TestPlatformDropsWhatOnlyTheRouterMaySet(t *testing.T) {
	s := startSite(t, 1)
	forged := func(r *http.Request) {
		for _, name := range []string{
			"Mastwheel-Stage", "Mastwheel-Kv-Source", "Mastwheel-Kv-Hold", "Mastwheel-Request-Priority",
			"Mastwheel-Expected-Instance", "Mastwheel-Expected-Version", "Mastwheel-Pin-Ms", "Mastwheel-Kv-Backup", "Kv-Fetch",
		} {
			r.Header.Set(name, "prefill")
		}
	}
	if got := s.send(s.instances[0], "GET", standin.PathSafe+"x", forged); got.status != 200 {
		t.Fatalf("safe: %+v", got)
	}
	if got := s.send(s.instances[0], "POST", standin.PathStream+"x", forged); got.status != 200 || got.err != nil {
		t.Fatalf("stream: %+v", got)
	}
}

// TestPlatformPromisesOnlyWhatIsTrue plays each way in which a server can fail
// a request, and checks that "not run" is only said of requests that did not
// run, that unsafe requests run once at most, and that no answer is mixed up.
func TestPlatformPromisesOnlyWhatIsTrue(t *testing.T) {
	faults := map[string]func(*standin.Behaviour){
		"sound":  func(*standin.Behaviour) {},
		"refuse": func(b *standin.Behaviour) { b.Refuse = true },
		"fail":   func(b *standin.Behaviour) { b.Fail = true },
		"break":  func(b *standin.Behaviour) { b.Break = true },
		"stale":  func(b *standin.Behaviour) { b.Stale = true },
		"extra":  func(b *standin.Behaviour) { b.Extra = true },
		"mute":   func(b *standin.Behaviour) { b.Mute = true },
	}
	s := startSite(t, 1)
	s.Configure(300)
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s.behaveAll(s.Plain, func(b *standin.Behaviour) { *b = standin.Behaviour{}; fault(b) })
			for range 4 {
				for _, path := range []string{standin.PathSafe, standin.PathUnsafe} {
					got := s.send(s.instances[0], "POST", path+"x", nil)
					s.check(t, got, path == standin.PathSafe)
				}
			}
		})
	}
}

// check judges one answer by what the servers saw.
func (s *site) check(t *testing.T, got answer, safe bool) {
	t.Helper()
	ran := s.ran(got.id)
	switch got.status {
	case 200:
		if got.body != "answer to "+got.id {
			t.Fatalf("%s got another's answer: %q", got.id, got.body)
		}
	case 429, 503, 408, 421:
		if ran > 0 {
			t.Fatalf("%s was told that it did not run (%d) and ran %d times", got.id, got.status, ran)
		}
		if got.header.Get("Retry-After") == "" {
			t.Fatalf("%s was refused without a time to come back", got.id)
		}
	}
	if !safe && ran > 1 {
		t.Fatalf("%s ran %d times", got.id, ran)
	}
	if safe && ran > 2 {
		t.Fatalf("%s ran at %d servers, its route allows 2", got.id, ran)
	}
}

func TestPlatformRetriesSafeRequestsOnly(t *testing.T) {
	s := startSite(t, 1)
	s.Plain[0].Behave(func(b *standin.Behaviour) { b.Fail = true })
	// The budget may be spent for a while, but it comes back.
	s.until("a safe request is served by the second server that it was sent to", func() bool {
		got := s.send(s.instances[0], "GET", standin.PathSafe+"x", nil)
		if got.status != 200 && got.status != 500 {
			t.Fatalf("%+v", got)
		}
		return got.status == 200 && s.ran(got.id) == 2
	})
	for range 10 {
		if got := s.send(s.instances[0], "POST", standin.PathUnsafe+"x", nil); s.ran(got.id) != 1 {
			t.Fatalf("an unsafe request ran %d times", s.ran(got.id))
		}
	}
}

func TestPlatformRefusesGenerationsThatHaveNoPlace(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Decode, func(b *standin.Behaviour) { b.NoMemory = true })
	got := s.send(s.instances[0], "POST", standin.PathStream+"x", nil)
	if got.status != 503 || got.header.Get("Retry-After") == "" || s.ran(got.id) != 0 {
		t.Fatalf("%+v, ran %d times", got, s.ran(got.id))
	}
	for _, prefill := range s.Prefill {
		if prefill.Seen() > 0 {
			t.Fatal("a prompt was read though nobody had promised it memory")
		}
	}
}

func TestPlatformGivesBackWhatAFailedGenerationTook(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Prefill, func(b *standin.Behaviour) { b.Break = true })
	if got := s.send(s.instances[0], "POST", standin.PathStream+"x", nil); got.status != 503 || s.ran(got.id) != 0 {
		t.Fatalf("prefill breaks: %+v", got)
	}
	s.nothingLeft()
	s.behaveAll(s.Prefill, func(b *standin.Behaviour) { b.Break = false })
	s.behaveAll(s.Decode, func(b *standin.Behaviour) { b.Refuse = true })
	if got := s.send(s.instances[0], "POST", standin.PathStream+"x", nil); got.status != 503 || s.ran(got.id) != 0 {
		t.Fatalf("decode refuses: %+v", got)
	}
	s.nothingLeft()
}

func TestPlatformNeverLetsABrokenStreamLookWhole(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Decode, func(b *standin.Behaviour) { b.Break = true })
	got := s.send(s.instances[0], "POST", standin.PathStream+"x", nil)
	if got.err == nil {
		t.Fatalf("a broken stream ended as if it were whole: %+v", got)
	}
	if strings.Contains(got.body, "cut") || strings.Count(got.body, "data: ") != 2 {
		t.Fatalf("the caller got a part of an event: %q", got.body)
	}
}

func TestPlatformStopsWorkForCallersWhoHaveLeft(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Prefill, func(b *standin.Behaviour) { b.ReadFor = time.Minute })
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		s.sendID("left-in-prefill", s.instances[0], "POST", standin.PathStream+"x", func(r *http.Request) { *r = *r.WithContext(ctx) })
	}()
	s.until("a prompt is being read", func() bool { return s.Prefill[0].Seen()+s.Prefill[1].Seen() > 0 })
	leave()
	<-gone
	s.nothingLeft()
	if s.ran("left-in-prefill") != 0 {
		t.Fatal("a request ran after its caller had left")
	}

	s.behaveAll(s.Prefill, func(b *standin.Behaviour) { b.ReadFor = 0 })
	s.behaveAll(s.Decode, func(b *standin.Behaviour) { b.EventEvery = 20 * time.Millisecond })
	for _, decode := range s.Decode {
		decode.Events = 100_000
	}
	ctx, leave = context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.instances[0].settings.Callers+standin.PathStream+"x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set("Mastwheel-Attempt-Id", "left-in-stream")
	request.Header.Set("Mastwheel-Token-Counts", "1460,80")
	response, err := s.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	leave()
	s.until("the engine stops", func() bool {
		for _, decode := range s.Decode {
			for _, run := range decode.Runs() {
				if run.Aborted {
					return true
				}
			}
		}
		return false
	})
}

func TestPlatformHoldsNoCallerAgainstAServer(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Plain, func(b *standin.Behaviour) { b.Mute = true })
	for call := range 20 {
		ctx, leave := context.WithCancel(context.Background())
		left := make(chan struct{})
		id := fmt.Sprintf("impatient-%d", call)
		go func() {
			defer close(left)
			s.sendID(id, s.instances[0], "POST", standin.PathUnsafe+"x", func(r *http.Request) { *r = *r.WithContext(ctx) })
		}()
		s.until("a server works on it", func() bool { return s.ran(id) == 1 })
		leave()
		<-left
	}
	s.behaveAll(s.Plain, func(b *standin.Behaviour) { b.Mute = false })
	if got := s.send(s.instances[0], "POST", standin.PathUnsafe+"x", nil); got.status != 200 {
		t.Fatalf("refused since other callers had left: %+v", got)
	}
}

func TestPlatformLeavesDrainingServersAlone(t *testing.T) {
	s := startSite(t, 2)
	leaving := s.Plain[0]
	s.Register(leaving, "draining")
	s.until("a request to every instance avoids the server", func() bool {
		before := leaving.Seen()
		for _, r := range s.instances {
			for range 4 {
				s.send(r, "GET", standin.PathSafe+"x", nil)
			}
		}
		return leaving.Seen() == before
	})
}

func TestPlatformConfigurationComesIntoForceAndStays(t *testing.T) {
	s := startSite(t, 2)
	s.Configure(1500, "added")
	for _, r := range s.instances {
		s.until("the new route is served", func() bool { return s.send(r, "GET", "/added/x", nil).status == 200 })
	}
	// An older version that turns up again changes nothing.
	s.Version = 0
	s.Configure(1500)
	s.Version = 2
	s.Configure(1500, "added", "third")
	for _, r := range s.instances {
		s.until("the third version is in force", func() bool { return s.send(r, "GET", "/third/x", nil).status == 200 })
		if got := s.send(r, "GET", "/added/x", nil); got.status != 200 {
			t.Fatalf("a route went back: %+v", got)
		}
	}
}

func TestPlatformBeginsAgainWhereHistoryWasDropped(t *testing.T) {
	s := startSite(t, 1)
	s.Compact()
	s.Configure(1500, "after")
	s.until("the route is served", func() bool { return s.send(s.instances[0], "GET", "/after/x", nil).status == 200 })
}

// Compact drops the history of the platform's own topics.
func (s *site) Compact() {
	s.Store.Compact("keyed.op")
	s.Store.Compact("keyed.servers")
}

func TestPlatformStartsFromASiblingWhileTheStoreIsAway(t *testing.T) {
	s := startSite(t, 2)
	s.Store.Fail(standin.StoreReset)
	late := s.start()
	s.until("the new instance is ready", func() bool { return s.ready(late) })
	if got := s.send(late, "GET", standin.PathSafe+"x", nil); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	s.Store.Fail(standin.StoreSound)
	s.Configure(1500, "back")
	s.until("the store is followed again", func() bool { return s.send(late, "GET", "/back/x", nil).status == 200 })
}

func TestPlatformWithoutATableRefusesTruly(t *testing.T) {
	s := startSite(t, 0)
	s.Store.Fail(standin.StoreBusy)
	alone := s.start()
	s.until("it listens", func() bool {
		got := s.send(alone, "GET", standin.PathSafe+"x", nil)
		return got.err == nil && got.status == 503
	})
	if s.ready(alone) {
		t.Fatal("ready without a table")
	}
}

func TestPlatformStopsGracefully(t *testing.T) {
	s := startSite(t, 2)
	stopping, staying := s.instances[0], s.instances[1]
	s.until("siblings know each other", func() bool { return strings.Contains(s.resolve(staying), stopping.settings.Callers) })
	s.behaveAll(s.Decode, func(b *standin.Behaviour) { b.EventEvery = 50 * time.Millisecond })
	streamed := make(chan answer, 1)
	go func() { streamed <- s.sendID("across-the-stop", stopping, "POST", standin.PathStream+"x", nil) }()
	s.until("the stream has begun", func() bool { return s.ran("across-the-stop") == 1 })
	stopping.stop()
	s.until("it is no longer ready", func() bool { return !s.ready(stopping) })
	s.until("it is no longer named", func() bool { return !strings.Contains(s.resolve(staying), stopping.settings.Callers) })
	if got := <-streamed; got.status != 200 || got.err != nil || strings.Count(got.body, "data: ") != 5 {
		t.Fatalf("cut off by a planned stop: %+v", got)
	}
	if err := <-stopping.done; err != nil {
		t.Fatal(err)
	}
	stopping.done <- nil
}

// TestPlatformCutsOffNoCallWhenItStops: a call that a stopping instance takes is
// answered before it ends; one that it can no longer answer is refused.
func TestPlatformCutsOffNoCallWhenItStops(t *testing.T) {
	s := startSite(t, 1)
	s.behaveAll(s.Plain, func(b *standin.Behaviour) { b.AnswerAfter = 100 * time.Millisecond })
	stopping := s.instances[0]
	var callers sync.WaitGroup
	ctx, leave := context.WithCancel(context.Background())
	for caller := range 8 {
		callers.Go(func() {
			for call := 0; ctx.Err() == nil; call++ {
				s.sendID(fmt.Sprintf("call-%d-%d", caller, call), stopping, "POST", standin.PathUnsafe+"x", nil)
			}
		})
	}
	stopping.stop()
	if err := <-stopping.done; err != nil {
		t.Fatal(err)
	}
	for _, server := range s.Plain {
		for _, run := range server.Runs() {
			if !run.Finished {
				t.Errorf("the instance ended while a server worked on %s", run.Attempt)
			}
		}
	}
	leave()
	callers.Wait()
	stopping.done <- nil
}

// resolve asks an instance's directory.
func (s *site) resolve(r *running) string {
	response, err := s.client.Get("http://" + r.settings.Directory + "/resolve?name=" + standin.Host + "&region=r1&zone=z1")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

func TestPlatformGivesEachEngineAtMostOneHolder(t *testing.T) {
	s := startSite(t, 3)
	// One of five engines is to read prompts; two do.
	s.until("an engine got an order", func() bool { return len(s.Prefill[0].Orders())+len(s.Prefill[1].Orders()) > 0 })
	for _, server := range s.Servers() {
		holders := make(map[uint64]string)
		last := uint64(0)
		for _, order := range server.Orders() {
			if holder, seen := holders[order.Token]; seen && holder != order.Holder {
				t.Fatalf("token %d was used by %s and %s", order.Token, holder, order.Holder)
			}
			if order.Token < last {
				t.Fatalf("token %d after %d", order.Token, last)
			}
			holders[order.Token], last = order.Holder, order.Token
		}
	}
}
