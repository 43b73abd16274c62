package edge

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/registry"
)

// withBothReleases runs a test on instances that have just started while servers of two releases serve, so
// that none knows the only release.
func withBothReleases(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, originInstances, DefaultConfig())
		f.store.registerRelease("o", oldRelease)
		f.store.registerRelease("n", newRelease)
		end := f.start()
		time.Sleep(5 * time.Second)
		test(f)
		end()
	})
}

// keep adds the record of a stream to those that an instance keeps for siblings.
func keep(in *Instance, request string, at origin.Origin) {
	now := time.Now()
	in.Origins.kept.Put(origin.KeyOf(request), at, now.Add(20*time.Second), now)
}

// doubtStreams makes an instance doubt the streams that it began.
func doubtStreams(in *Instance) {
	o, now := in.Origins, time.Now()
	o.own.Doubt(map[origin.Run]bool{origin.RunOf("s0@1"): true}, now.Add(-doubtFor), now, func(doubt origin.Record) { o.enqueue(doubt) })
}

// checkUnknown checks that an instance does not name a release for a stream.
func checkUnknown(t *testing.T, what string, in *Instance, request string) {
	t.Helper()
	if got := find(in, request); got != "unknown" {
		t.Errorf("%s: %s guesses %s", what, in.config.Name, got)
	}
}

// TestDoubtWinsOverAnswersThatArriveEarlier has one sibling answer last that knows that nobody can know where the
// stream began.
func TestDoubtWinsOverAnswersThatArriveEarlier(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		last := f.instances[originInstances-1]
		for _, request := range []string{"x", "y"} {
			for _, in := range f.instances[1:] {
				keep(in, request, oldRelease)
			}
			keep(last, request, origin.Origin{})
		}
		f.mu.Lock()
		f.lagTo[last.config.SiblingAddress] = 10 * time.Millisecond
		f.mu.Unlock()
		checkUnknown(t, "one lookup", f.instances[0], "x")
		// The answers to one lookup must not count for the siblings that another one waits for.
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { checkUnknown(t, "two lookups at once", f.instances[0], "y") })
		}
		running.Wait()
	})
}

func TestAnswersThatContradictEachOtherNameNoRelease(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		keep(f.instances[1], "x", oldRelease)
		keep(f.instances[2], "x", newRelease)
		checkUnknown(t, "two answers", f.instances[0], "x")
	})
}

func TestSilentSiblingDelaysAKnownAnswerForAShortTime(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		keep(f.instances[1], "x", oldRelease)
		asked := time.Now()
		if got, took := find(f.instances[0], "x"), time.Since(asked); got != "v1" || took > 2*originAsked*networkLatency {
			t.Errorf("%s after %v, expected v1 once all have answered", got, took)
		}
		f.setCut(f.instances[2], true)
		asked = time.Now()
		if got, took := find(f.instances[0], "x"), time.Since(asked); got != "v1" || took > originTimeout/2 {
			t.Errorf("%s after %v beside a silent sibling, expected v1 in half of the time for lookups", got, took)
		}
	})
}

// TestNamelessLookupsOfTwoServicesAreNotMixed has callers take up streams of two services at once without naming them,
// at an instance that has to ask its siblings. Each service has one release.
func TestNamelessLookupsOfTwoServicesAreNotMixed(t *testing.T) {
	releases := []origin.Origin{{Service: "b", Release: "v1"}, {Service: "c", Release: "v7"}}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, originInstances, DefaultConfig())
		for _, at := range releases {
			f.store.registerRelease(at.Service, at)
		}
		end := f.start()
		time.Sleep(originWindow + 5*time.Second)
		in := f.instances[0]
		in.Origins.releases.Restart(time.Now(), time.Now())
		var running sync.WaitGroup
		for _, want := range releases {
			running.Go(func() {
				if at, source := in.Origins.Find(t.Context(), "", want.Service); at != want || source != metrics.OriginSibling {
					t.Errorf("%v by %s, expected %v", at, source, want)
				}
			})
		}
		running.Wait()
		end()
	})
}

// TestDoubtWinsOverOtherRecordsOfAnInstance: a stream that was taken up is recorded at each instance that it
// came to, and only the first one doubts it.
func TestDoubtWinsOverOtherRecordsOfAnInstance(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		in, now := f.instances[0], time.Now()
		begin(in, "x", oldRelease)
		keep(in, "x", origin.Origin{})
		checkUnknown(t, "a doubt of a sibling", in, "x")
		begin(in, "y", oldRelease)
		in.Origins.stored.records.Put(origin.KeyOf("y"), origin.Origin{}, now.Add(20*time.Second), now)
		checkUnknown(t, "a doubt of the store", in, "y")
	})
}

// TestDoubtReachesAllThatMayHaveAnOlderRecord has all siblings have records, which they got when other instances
// kept them, and one be out of reach while the doubt is sent.
func TestDoubtReachesAllThatMayHaveAnOlderRecord(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		const streams = 5
		for i := range streams {
			begin(f.instances[0], fmt.Sprint(i), oldRelease)
			for _, in := range f.instances[1:] {
				keep(in, fmt.Sprint(i), oldRelease)
			}
		}
		time.Sleep(100 * time.Millisecond)
		f.setCut(f.instances[1], true)
		doubtStreams(f.instances[0])
		time.Sleep(100 * time.Millisecond)
		f.setCut(f.instances[1], false)
		for i := range streams {
			for _, in := range f.instances[2:] {
				checkUnknown(t, "at once", in, fmt.Sprint(i))
			}
		}
		time.Sleep(missedAfter)
		for i := range streams {
			checkUnknown(t, "after a short cut", f.instances[1], fmt.Sprint(i))
		}
	})
}

// TestSoleReleaseIsNoAnswerToAnInstanceWithANewerList: the newer list may have a release that this one lacks.
func TestSoleReleaseIsNoAnswerToAnInstanceWithANewerList(t *testing.T) {
	withReleases(t, 2, func(f *fleet) {
		o := f.instances[0].Origins
		next := uint64(o.registry.View().Position)
		question := origin.Question{Key: origin.KeyOf("x"), Service: "a"}
		if at, known := o.answerFor(question, member.Info{Next: next}, time.Now()); !known || at != oldRelease {
			t.Errorf("%v, %v", at, known)
		}
		if at, known := o.answerFor(question, member.Info{Next: next + 1}, time.Now()); known {
			t.Errorf("%v is named for the only release", at)
		}
	})
}

// TestDoubtReachesAnInstanceThatWasOutOfReach has an instance be out of reach while a doubt is sent, and lose touch with
// the one that doubted: as an instance that has just appeared to it and to the others, it is sent the doubts.
func TestDoubtReachesAnInstanceThatWasOutOfReach(t *testing.T) {
	for name, endsFirst := range map[string]bool{"the doubting instance serves": false, "the doubting instance has ended": true} {
		synctest.Test(t, func(t *testing.T) {
			const streams = 5
			f := newFleet(t, originInstances, DefaultConfig())
			f.store.registerRelease("o", oldRelease)
			f.store.registerRelease("n", newRelease)
			stopFirst := f.startThese(f.instances[:1])
			stopOthers := f.startThese(f.instances[1:])
			time.Sleep(5 * time.Second)
			away := f.instances[1]
			for i := range streams {
				begin(f.instances[0], fmt.Sprint(i), oldRelease)
				keep(away, fmt.Sprint(i), oldRelease)
			}
			f.setCut(away, true)
			doubtStreams(f.instances[0])
			time.Sleep(3 * time.Second)
			if endsFirst {
				stopFirst()
			}
			f.setCut(away, false)
			time.Sleep(time.Second)
			for i := range streams {
				checkUnknown(t, name, away, fmt.Sprint(i))
			}
			stopFirst()
			stopOthers()
			f.running.Wait()
		})
	}
}

// TestDoubtsAreSentThoughManyRecordsWait has all records of a service wait behind doubts, as when a second release of it
// appears: without the doubts, older records would count.
func TestDoubtsAreSentThoughManyRecordsWait(t *testing.T) {
	const doubts = 10
	o, until := bareInstance("a", new(claims), enginesOf(0, 0)).Origins, time.Now().Add(time.Minute)
	for key := range origin.Key(doubts) {
		o.enqueue(origin.Record{Key: key, Until: until})
	}
	records := make([]origin.Record, originRecords)
	for i := range records {
		records[i] = origin.Record{Key: origin.Key(doubts + i), At: oldRelease, Until: until}
	}
	o.enqueue(records...)
	for key := range origin.Key(doubts) {
		if len(o.unsent) != originRecords || o.unsent[key].Key != key || !o.unsent[key].IsDoubt() {
			t.Fatalf("doubt %d is not among the %d records that wait", key, len(o.unsent))
		}
	}
	if oldest := o.unsent[doubts].Key; oldest != 2*doubts {
		t.Errorf("record %d is the oldest that waits, expected %d", oldest, 2*doubts)
	}
	for range 2 {
		o.enqueue(make([]origin.Record, originRecords)...)
	}
	if len(o.unsent) != originRecords {
		t.Errorf("%d records wait", len(o.unsent))
	}
}

// TestDoubtsAreAppendedAgainAfterARestoreOfTheStore: without them, older records that the store still has would count.
func TestDoubtsAreAppendedAgainAfterARestoreOfTheStore(t *testing.T) {
	withBothReleases(t, func(f *fleet) {
		begin(f.instances[0], "x", oldRelease)
		time.Sleep(time.Second)
		f.store.mu.Lock()
		copied := len(f.store.streams.batches)
		f.store.mu.Unlock()
		doubtStreams(f.instances[0])
		time.Sleep(time.Second)
		f.restore(copied)
		time.Sleep(2 * time.Second)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		doubts := 0
		for _, batch := range f.store.streams.batches[copied:] {
			batch.EachRecord(batch.Began, nil, time.Time{}, time.Now(), func(one origin.Record) {
				if one.IsDoubt() {
					doubts++
				}
			})
		}
		if doubts != originAppendedBy {
			t.Errorf("the doubt is appended %d times, expected once by each of %d instances", doubts, originAppendedBy)
		}
	})
}

// restartedServer is a server that is back under its id at another release before the list shows it.
type restartedServer struct {
	*fleet
	run string
}

// register lists the server at a release, as a process that started a time ago.
func (s *restartedServer) register(at origin.Origin, ago time.Duration) {
	entry := registry.Entry{ID: "e", Service: at.Service, Release: at.Release, Born: time.Now().Add(-ago).UnixMilli(), Address: "127.0.0.1:1"}
	s.store.change(func() { s.store.servers = append(s.store.servers, registry.Change{ID: entry.ID, Entry: &entry}) })
	s.run = entry.Run()
}

// begin records a stream at an instance, which takes the server for the run that is listed.
func (s *restartedServer) begin(in *Instance, request string) {
	in.Origins.Began(request, oldRelease, s.run, time.Now().Add(20*time.Second))
}

// withRestartedServer runs a test on instances of which the first one began a stream at a server some time before the
// server restarted, and one just after it. The list does not show the later run yet. stopFirst and stopOthers stop the
// instances.
func withRestartedServer(t *testing.T, test func(s *restartedServer, stopFirst, stopOthers func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &restartedServer{fleet: newFleet(t, originInstances, DefaultConfig())}
		s.store.registerRelease("o", oldRelease)
		s.store.registerRelease("n", newRelease)
		s.register(oldRelease, time.Minute)
		stopFirst := s.startThese(s.instances[:1])
		stopOthers := s.startThese(s.instances[1:])
		time.Sleep(5 * time.Second)
		s.begin(s.instances[0], "early")
		time.Sleep(2*doubtFor + time.Second)
		s.begin(s.instances[0], "late")
		time.Sleep(time.Second)
		test(s, stopFirst, stopOthers)
		s.running.Wait()
	})
}

// checkRestarted checks that some instances name the release of the stream that began before the restart, and none for
// the other one.
func (s *restartedServer) checkRestarted(what string, instances []*Instance) {
	s.t.Helper()
	for _, in := range instances {
		if got := find(in, "early"); got != "v1" {
			s.t.Errorf("%s: %s: the stream from before the restart is found at %s", what, in.config.Name, got)
		}
		checkUnknown(s.t, what, in, "late")
	}
}

func TestStreamsOfARestartedServerAreDoubtedThoughTheirInstanceHasEnded(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		stopFirst()
		s.register(newRelease, 1500*time.Millisecond)
		time.Sleep(time.Second)
		s.checkRestarted("at the keepers", s.instances[1:])
		stopOthers()
	})
}

// TestStreamsOfAServerThatWasRemovedInBetweenAreDoubted has the list show neither run of the server for a short time.
func TestStreamsOfAServerThatWasRemovedInBetweenAreDoubted(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		s.store.change(func() { s.store.servers = append(s.store.servers, registry.Change{ID: "e"}) })
		time.Sleep(500 * time.Millisecond)
		s.register(newRelease, 2*time.Second)
		time.Sleep(time.Second)
		s.checkRestarted("at once", s.instances)
		stopFirst()
		stopOthers()
	})
}

// TestStreamsOfAServerWithoutAStartTimeAreDoubted has a server restart at another release whose runs have one name.
func TestStreamsOfAServerWithoutAStartTimeAreDoubted(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		s.store.registerRelease("e", oldRelease)
		time.Sleep(2*doubtFor + time.Second)
		s.run = "e"
		s.begin(s.instances[0], "unnamed")
		time.Sleep(time.Second)
		s.store.registerRelease("e", newRelease)
		time.Sleep(time.Second)
		s.instances[0].Origins.Began("new", newRelease, s.run, time.Now().Add(20*time.Second))
		time.Sleep(100 * time.Millisecond)
		for _, in := range s.instances {
			checkUnknown(t, "a server without a start time", in, "unnamed")
			if got := find(in, "new"); got != "v2" {
				t.Errorf("%s: a stream from after the restart is found at %s", in.config.Name, got)
			}
		}
		stopFirst()
		stopOthers()
	})
}

func TestServersThatWereRemovedAreForgotten(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		s.store.change(func() { s.store.servers = append(s.store.servers, registry.Change{ID: "e"}) })
		time.Sleep(doubtFor + time.Second)
		s.register(newRelease, 0)
		time.Sleep(time.Second)
		for _, in := range s.instances {
			if got := find(in, "late"); got != "v1" || len(in.Origins.removed) > 0 {
				t.Errorf("%s: a stream from long before the restart is found at %s, and %d removed servers are remembered", in.config.Name, got, len(in.Origins.removed))
			}
		}
		stopFirst()
		stopOthers()
	})
}

func TestStreamsOfARestartedServerAreDoubtedAfterALossOfAll(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		stopFirst()
		stopOthers()
		s.register(newRelease, 1500*time.Millisecond)
		s.running.Wait()
		end := s.startNew()
		time.Sleep(2 * time.Second)
		s.checkRestarted("in the store", s.instances)
		end()
	})
}

// TestStreamsOfAServerWithoutAStartTimeAreDoubtedAfterALossOfAll has all runs of the server have one name.
func TestStreamsOfAServerWithoutAStartTimeAreDoubtedAfterALossOfAll(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		s.store.registerRelease("e", oldRelease)
		time.Sleep(2*doubtFor + time.Second)
		s.run = "e"
		s.begin(s.instances[0], "unnamed")
		time.Sleep(time.Second)
		stopFirst()
		stopOthers()
		s.store.registerRelease("e", newRelease)
		s.running.Wait()
		end := s.startNew()
		time.Sleep(2 * time.Second)
		for _, in := range s.instances {
			checkUnknown(t, "a stored record of a server without a start time", in, "unnamed")
		}
		end()
	})
}

// TestOnlyTheInstanceThatBeganAStreamRepeatsItsDoubt guards against as many datagrams as keepers, repeats and receivers of
// a doubt together.
func TestOnlyTheInstanceThatBeganAStreamRepeatsItsDoubt(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		s.register(newRelease, 1500*time.Millisecond)
		time.Sleep(3 * doubtRepeatEvery / 2)
		stopFirst()
		stopOthers()
		s.running.Wait()
		for i, in := range s.instances {
			if repeats := len(in.Origins.doubts); (repeats > 0) != (i == 0) {
				t.Errorf("%s repeats %d doubts", in.config.Name, repeats)
			}
		}
	})
}

// TestLaterRecordOfARestartedServerIsDoubted has an instance record a stream that it had sent to the former run, and
// send a record to a sibling that has seen the later run, before it has seen that run itself.
func TestLaterRecordOfARestartedServerIsDoubted(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		former := s.run
		s.register(newRelease, 1500*time.Millisecond)
		time.Sleep(time.Second)
		s.run = former
		s.begin(s.instances[0], "own")
		message := &origin.Message{
			Origins: []origin.Origin{oldRelease}, Began: []origin.Began{{Key: origin.KeyOf("sent"), LeftMillis: 20_000}},
			BeganRuns: []origin.BeganRun{{Run: origin.RunOf(former)}},
		}
		for _, in := range s.instances[1:] {
			in.Origins.apply(heartbeat.Message{Origins: message}, time.Time{}, time.Now())
		}
		time.Sleep(100 * time.Millisecond)
		for _, in := range s.instances {
			checkUnknown(t, "an own record", in, "own")
			checkUnknown(t, "a record that was sent", in, "sent")
		}
		stopFirst()
		stopOthers()
	})
}

// TestServerThatIsListedAgainIsNotDoubtedForGood has the list show the former run of a server for a second, whose process
// renews its entry while it drains, and then the later run again.
func TestServerThatIsListedAgainIsNotDoubtedForGood(t *testing.T) {
	withRestartedServer(t, func(s *restartedServer, stopFirst, stopOthers func()) {
		born := time.Now().Add(-time.Second)
		for _, turn := range []struct {
			at  origin.Origin
			ago time.Duration
		}{{newRelease, time.Since(born)}, {oldRelease, time.Minute}, {newRelease, time.Since(born) + 2*time.Second}} {
			s.register(turn.at, turn.ago)
			time.Sleep(time.Second)
		}
		time.Sleep(2 * doubtFor)
		s.instances[0].Origins.Began("new", newRelease, s.run, time.Now().Add(20*time.Second))
		time.Sleep(100 * time.Millisecond)
		for _, in := range s.instances {
			if got := find(in, "new"); got != "v2" {
				t.Errorf("%s: a stream of the server that is listed again is found at %s", in.config.Name, got)
			}
		}
		stopFirst()
		stopOthers()
	})
}

func TestRecordsWithRunsFitIntoOneUnfragmentedDatagram(t *testing.T) {
	const payload = 1472
	now := time.Now()
	o := bareInstance("a", new(claims), enginesOf(0, 0)).Origins
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	for i := range originsInMessage - 1 {
		at := origin.Origin{Service: "dining-room-assistant", Release: fmt.Sprint("v1.2.", i%2)}
		messages.add("x", origin.Record{Key: 1<<63 + origin.Key(i), At: at, Until: now.Add(time.Minute), Run: 1 << 63, Began: now.Add(-runMattersFor)}, i%2 == 0)
	}
	datagram, err := heartbeat.Encode(heartbeat.Message{Origins: messages.to["x"]})
	if err != nil {
		t.Fatal(err)
	}
	if size := len(datagram) * originsInMessage / (originsInMessage - 1); size > payload {
		t.Errorf("%d records have %d bytes", originsInMessage, size)
	}
}
