package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the plain service, those of a small deployment's sheet.
const (
	plainSlots  = 6
	plainQueue  = 24
	plainWork   = 60 * time.Millisecond
	plainBytes  = 800
	plainParts  = 4
	plainBudget = 3 * time.Second
)

// plainWorker is one worker of the plain service. It runs as a process of its own and writes what it runs
// to its standard output.
type plainWorker struct {
	id       string
	unframed bool
	running  chan struct{}

	mu      sync.Mutex
	waiting int
}

// wholeAnswer returns the whole body of an answer to an attempt, and its signature.
func wholeAnswer(id, attempt string) (body []byte, signature string) {
	body = []byte("answer to " + attempt + " " + strings.Repeat("x", plainBytes) + " end")
	return body, fmt.Sprintf("%s.%x.%08x", id, len(body), crc32.ChecksumIEEE(body))
}

// isWhole reports whether a body is the whole one that a signature was made for.
func isWhole(body []byte, signature string) bool {
	return strings.HasSuffix(signature, fmt.Sprintf(".%x.%08x", len(body), crc32.ChecksumIEEE(body)))
}

// serve implements backend.
func (p *plainWorker) serve(c *workerConn, r *http.Request, _ []byte) {
	attempt := r.Header.Get("Mastwheel-Attempt-Id")
	fields := map[string]string{}
	if attempt != "" {
		fields["Mastwheel-Attempt-Id"] = attempt
	}
	if expected := r.Header.Get("Mastwheel-Expected-Instance"); expected != "" && expected != p.id {
		fields["Mastwheel-Instance-Id"] = p.id
		c.answer(http.StatusMisdirectedRequest, fields, nil)
		return
	}
	if r.URL.Path == "/health" {
		c.answer(http.StatusOK, map[string]string{"Mastwheel-Instance-Id": p.id}, nil)
		return
	}
	p.mu.Lock()
	full := p.waiting >= plainQueue+plainSlots
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full || attempt == "" {
		fields["Mastwheel-Not-Executed"] = "1"
		c.answer(http.StatusServiceUnavailable, fields, nil)
		return
	}
	p.running <- struct{}{}
	defer func() {
		<-p.running
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	fmt.Println("runs", attempt)
	work := time.Duration((0.5 + rand.Float64()) * float64(plainWork))
	body, signature := wholeAnswer(p.id, attempt)
	fields["Mastwheel-Server-Signature"], fields["Content-Type"] = signature, "text/plain"
	if !p.unframed {
		if !c.pause(work) {
			c.last = true
			return
		}
		c.answer(http.StatusOK, fields, body)
		return
	}
	// The answer is written as it is made, and ends with its connection.
	fields["Connection"], c.last = "close", true
	if _, err := c.raw.Write(head(http.StatusOK, fields)); err != nil {
		return
	}
	for part := range plainParts {
		if !c.pause(work / plainParts) {
			return
		}
		if _, err := c.raw.Write(body[part*len(body)/plainParts : (part+1)*len(body)/plainParts]); err != nil {
			return
		}
	}
	fmt.Println("answered", attempt)
}

// runPlainWorker runs a worker until it is killed, or its parent ends.
func runPlainWorker(id, address, how string) error {
	_, err := listenWorker(address, &plainWorker{id: id, unframed: how == "unframed", running: make(chan struct{}, plainSlots)})
	if err != nil {
		return err
	}
	fmt.Println("listens", id)
	time.Sleep(caseLimit)
	return nil
}

// plainProcess is the process of a plain worker.
type plainProcess struct {
	id, address, zone string
	command           *exec.Cmd
	exited            chan struct{}
	// vanished is closed to remove the worker's entry, and removedAt is when that was done.
	vanished  chan struct{}
	removedAt atomic.Int64
	// draining is set once the worker reports that it drains.
	draining atomic.Bool
	report   chan struct{}
}

// drain has the worker report that it drains.
func (p *plainProcess) drain() {
	p.draining.Store(true)
	p.report <- struct{}{}
}

// vanish removes the entry of the worker, which goes on to serve.
func (p *plainProcess) vanish() { close(p.vanished) }

// checkLate notes a run that begins too late after the worker's entry was removed.
func (p *plainProcess) checkLate(r *record, line string) {
	attempt, runs := strings.CutPrefix(line, "runs ")
	removed := p.removedAt.Load()
	if !runs || removed == 0 {
		return
	}
	if after := time.Since(time.Unix(0, removed)); after > drainTime {
		r.breaks("DRAIN: %s reaches %s %d ms after the removal of its entry was acknowledged", attempt, p.id, after.Milliseconds())
	}
}

// startPlain starts the process of a plain worker and registers it.
func startPlain(r *record, d *deployment, number int, how string) (*plainProcess, error) {
	return startPlainIn(r, d, number, zoneNames[number%len(zoneNames)], how)
}

// startPlainIn is like startPlain, in a zone.
func startPlainIn(r *record, d *deployment, number int, zone, how string) (*plainProcess, error) {
	p := &plainProcess{
		vanished: make(chan struct{}), report: make(chan struct{}, 1),
		id: fmt.Sprintf("i-%08x", rand.Uint32()), address: d.address(100+number, 8080), zone: zone, exited: make(chan struct{}),
	}
	p.command = exec.Command(os.Args[0], "plain", p.id, p.address, how)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	listens := make(chan struct{}, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "listens") {
				listens <- struct{}{}
			}
			r.note("worker %s %s", p.id, lines.Text())
			p.checkLate(r, lines.Text())
		}
		_ = p.command.Wait()
		close(p.exited)
	}()
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("the worker %s did not start", p.id)
	}
	d.workers = append(d.workers, p)
	go func() {
		for sequence := uint64(1); ; sequence++ {
			state := "ready"
			if p.draining.Load() {
				state = "draining"
			}
			d.register(p.id, plainService, p.address, p.zone, "", state, plainSlots, sequence)
			select {
			case <-p.exited:
				// Its entry lapses after three heartbeats.
				time.Sleep(3600 * time.Millisecond)
				d.unregister(p.id)
				return
			case <-p.vanished:
				d.unregister(p.id)
				p.removedAt.Store(time.Now().UnixNano())
				r.note("the entry of %s is removed", p.id)
				return
			case <-p.report:
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return p, nil
}

// kill crashes the worker.
func (p *plainProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// plainCall sends one request of the plain service and checks what it gets.
func (c *clients) plainCall(method, path string) {
	attempt := attemptID()
	c.record.note("client sends %s %s", attempt, path)
	var body []byte
	if method == http.MethodPost {
		body = []byte(strings.Repeat("b", 600))
	}
	got := c.send(method, path+"x", attempt, plainBudget, nil, body)
	signature := got.header.Get("Mastwheel-Server-Signature")
	c.record.note("client got %s: status %d, %d bytes, signature %s, err %v", attempt, got.status, len(got.body), signature, got.err)
	c.record.count(fmt.Sprintf("%s ended with status %d, broken off %t", path, got.status, got.err != nil))
	if got.success() && !isWhole(got.body, signature) {
		c.record.breaks("MIXED: %s got a success with %d bytes that aren't the whole body of %s: %.40q", attempt, len(got.body), signature, got.body)
	}
}

func (c *clients) plainCalls(method, path string, perSecond float64, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		c.wait.Go(func() { c.plainCall(method, path) })
	}
}

// crash kills plain workers, one of four at a time, while their answers have no length.
func crash(r *record, d *deployment) error {
	d.configure()
	var workers []*plainProcess
	for number := range 4 {
		p, err := startPlain(r, d, number, "unframed")
		if err != nil {
			return err
		}
		workers = append(workers, p)
	}
	if err := d.startInstances(2); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c := newClients(r, d)
	until := time.Now().Add(40 * time.Second)
	go c.plainCalls(http.MethodPost, pathUnsafe, 44, until)
	go c.plainCalls(http.MethodGet, pathSafe, 18, until)
	time.Sleep(5 * time.Second)
	for n := 0; trouble() && time.Now().Before(until.Add(-4*time.Second)); n++ {
		one := workers[n%len(workers)]
		r.note("worker %s is killed", one.id)
		one.kill()
		time.Sleep(3 * time.Second)
		fresh, err := startPlain(r, d, 10+n, "unframed")
		if err != nil {
			return err
		}
		workers[n%len(workers)] = fresh
		time.Sleep(2 * time.Second)
	}
	time.Sleep(time.Until(until))
	c.wait.Wait()
	return nil
}
