package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/racedetector"
)

// streamTopic is the topic of the records of streams in the store in memory.
type streamTopic struct {
	batches []*origin.Message
	// first is the offset of the oldest batch, and era that of the store.
	first, era uint64
	// appends and reads count the calls, also refused ones.
	appends, reads int
	// refused makes all calls fail, and answersLost makes appends take effect without an answer. latency delays each call.
	refused, answersLost bool
	latency              time.Duration
	// unanswered is the number of appends that have no effect and are not answered. It decreases with each.
	unanswered int
}

func (s *streamTopic) end() uint64 { return s.first + uint64(len(s.batches)) }

// streamLog is the StreamLog of one instance.
type streamLog struct {
	store *memoryStore
	name  string
}

// call runs a call to the topic unless the store refuses it.
func (l streamLog) call(ctx context.Context, what func(topic *streamTopic) error) error {
	l.store.mu.Lock()
	latency := storeLatency + l.store.streams.latency
	l.store.mu.Unlock()
	select {
	case <-time.After(min(latency, storeTimeout)):
	case <-ctx.Done():
		return ctx.Err()
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if l.store.refused[l.name] || l.store.streams.refused || latency > storeTimeout {
		return oplog.ErrUnavailable
	}
	return what(&l.store.streams)
}

// Append implements StreamLog.
func (l streamLog) Append(ctx context.Context, batch *origin.Message) error {
	if err := batch.CheckBatch(); err != nil {
		panic(err)
	}
	unanswered := false
	l.store.change(func() {
		l.store.streams.appends++
		if unanswered = l.store.streams.unanswered > 0; unanswered {
			l.store.streams.unanswered--
		}
	})
	if unanswered {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		<-ctx.Done()
		return oplog.ErrUnavailable
	}
	return l.call(ctx, func(topic *streamTopic) error {
		topic.batches = append(topic.batches, batch)
		if topic.answersLost {
			return oplog.ErrUnavailable
		}
		return nil
	})
}

// pageOfBatches is how many batches a read returns.
const pageOfBatches = 20

// Read implements StreamLog.
func (l streamLog) Read(ctx context.Context, from oplog.Position) (batches []*origin.Message, next oplog.Position, more bool, err error) {
	l.store.change(func() { l.store.streams.reads++ })
	err = l.call(ctx, func(topic *streamTopic) error {
		if from.Era() != topic.era || from.Offset() < topic.first || from.Offset() > topic.end() {
			return oplog.ErrTruncated
		}
		all := topic.batches[from.Offset()-topic.first:]
		batches = slices.Clone(all[:min(len(all), pageOfBatches)])
		more = len(all) > len(batches)
		return nil
	})
	return batches, from.Add(len(batches)), more, err
}

// Tail implements StreamLog.
func (l streamLog) Tail(ctx context.Context, batches int) (at oplog.Position, err error) {
	l.store.change(func() { l.store.streams.reads++ })
	err = l.call(ctx, func(topic *streamTopic) error {
		at = oplog.NewPosition(topic.era, topic.first+uint64(max(len(topic.batches)-batches, 0)))
		return nil
	})
	return at, err
}

// streamCalls returns the number of appends and reads so far.
func (s *memoryStore) streamCalls() (appends, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams.appends, s.streams.reads
}

// streamInterval is the pause between the streams that begin in these tests.
const streamInterval = 20 * time.Millisecond

// withTwoReleases runs a test on instances at which streams of two releases may begin. The test returns what
// ends the instances that run then.
func withTwoReleases(t *testing.T, instances int, test func(f *fleet, end func()) func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, DefaultConfig())
		f.store.registerRelease("o", oldRelease)
		for i := range 10 {
			f.store.remove(fmt.Sprint("s", i))
		}
		end := f.start()
		time.Sleep(originWindow + 5*time.Second)
		f.store.registerRelease("n", newRelease)
		time.Sleep(4 * time.Second)
		test(f, end)()
	})
}

// beginStreams begins streams at all instances in turn, every third one at the new release.
func (f *fleet) beginStreams(name string, lasts time.Duration) (began map[string]string) {
	began = make(map[string]string)
	for i := range int(lasts / streamInterval) {
		at := oldRelease
		if i%3 == 0 {
			at = newRelease
		}
		id := fmt.Sprint(name, "-", i)
		begin(f.instances[i%len(f.instances)], id, at)
		began[id] = at.Release
		time.Sleep(streamInterval)
	}
	return began
}

// found returns the least number of streams that an instance finds. None may be found at another release.
func (f *fleet) found(began map[string]string) (least int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	least = len(began)
	for _, in := range f.instances {
		running.Go(func() {
			found := 0
			for id, release := range began {
				switch got := find(in, id); got {
				case release:
					found++
				case oldRelease.Release, newRelease.Release:
					f.t.Errorf("%s: %s began at %s and is found at %s", in.config.Name, id, release, got)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			least = min(least, found)
		})
	}
	running.Wait()
	return least
}

func TestStreamsOfTwoReleasesAreFoundAfterALossOfAll(t *testing.T) {
	for _, instances := range []int{1, 2, originInstances} {
		withTwoReleases(t, instances, func(f *fleet, end func()) func() {
			began := f.beginStreams("x", 5*time.Second)
			time.Sleep(500 * time.Millisecond)
			end = f.lossOfAll(end)
			least := f.found(began)
			t.Logf("%d instances: at least %d of %d streams are found", instances, least, len(began))
			if least < len(began)*9/10 {
				t.Errorf("%d instances: an instance finds %d of %d streams", instances, least, len(began))
			}
			return end
		})
	}
}

// checkFound checks how many of the streams are found at each instance.
func (f *fleet) checkFound(what string, began map[string]string, least, most int) {
	f.t.Helper()
	if got := f.found(began); got < least || got > most {
		f.t.Errorf("%s: an instance finds %d of %d streams, expected %d to %d", what, got, len(began), least, most)
	}
}

func TestStreamsAreFoundThoughTheStoreWasAwayWhenTheyBegan(t *testing.T) {
	for name, set := range map[string]func(topic *streamTopic, away bool){
		"refused":      func(topic *streamTopic, away bool) { topic.refused = away },
		"answers lost": func(topic *streamTopic, away bool) { topic.answersLost = away },
		"slow": func(topic *streamTopic, away bool) {
			topic.latency = map[bool]time.Duration{true: 600 * time.Millisecond}[away]
		},
	} {
		withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
			f.store.change(func() { set(&f.store.streams, true) })
			began := f.beginStreams("x", 3*time.Second)
			f.store.change(func() { set(&f.store.streams, false) })
			time.Sleep(2 * time.Second)
			end = f.lossOfAll(end)
			f.checkFound(name, began, len(began)*9/10, len(began))
			return end
		})
	}
}

// TestUnansweredAppendDelaysNoOtherRecord guards against records that wait for the answer of an earlier call and
// are lost with all instances.
func TestUnansweredAppendDelaysNoOtherRecord(t *testing.T) {
	for _, instances := range []int{1, 2, originInstances} {
		withTwoReleases(t, instances, func(f *fleet, end func()) func() {
			f.store.change(func() { f.store.streams.unanswered = 1 })
			first := f.beginStreams("first", 2*streamInterval)
			began := f.beginStreams("x", time.Second)
			time.Sleep(100 * time.Millisecond)
			end = f.lossOfAll(end)
			f.checkFound(fmt.Sprint(instances, " instances, after the unanswered call"), began, len(began)*4/5, len(began))
			t.Logf("%d instances: an instance finds %d of %d streams of the unanswered call", instances, f.found(first), len(first))
			return end
		})
	}
}

// TestStreamsAreFoundThoughAnArchiverDoesNotReachTheStore guards against records that only one instance was
// asked to append.
func TestStreamsAreFoundThoughAnArchiverDoesNotReachTheStore(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		refused := f.instances[0].Origins.archivers().names[0]
		f.store.change(func() { f.store.refused[refused] = true })
		began := f.beginStreams("x", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.store.change(func() { f.store.refused[refused] = false })
		end = f.lossOfAll(end)
		f.checkFound("an archiver without the store", began, len(began)*9/10, len(began))
		return end
	})
}

// TestStreamsThatBeganShortlyBeforeALossOfAllAreFound guards against records that wait for long before they are
// appended. The losses come at different times after the last append.
func TestStreamsThatBeganShortlyBeforeALossOfAllAreFound(t *testing.T) {
	const before = 160 * time.Millisecond
	for instances, step := range map[int]time.Duration{1: 2 * streamInterval, originInstances: 8 * streamInterval} {
		for later := time.Duration(0); later < 250*time.Millisecond; later += step {
			withTwoReleases(t, instances, func(f *fleet, end func()) func() {
				began := f.beginStreams("x", time.Second+later)
				time.Sleep(before)
				end = f.lossOfAll(end)
				f.checkFound(fmt.Sprint(instances, " instances"), began, len(began), len(began))
				return end
			})
		}
	}
}

// TestStreamsAreFoundSoonThoughTheFirstReadIsLate has a caller come back to an instance that has just started, and
// whose store answers later than a caller waits, or not yet.
func TestStreamsAreFoundSoonThoughTheFirstReadIsLate(t *testing.T) {
	const away = time.Second
	for name, late := range map[string]struct {
		latency time.Duration
		refused bool
		most    time.Duration
	}{
		"slow": {latency: 2 * originTimeout, most: time.Second},
		// The pause after a failed read is DefaultConfig().RetryAtMost.
		"refused": {refused: true, most: away + DefaultConfig().RetryAtMost + originReadEvery},
	} {
		withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
			begin(f.instances[0], "x", newRelease)
			time.Sleep(500 * time.Millisecond)
			end()
			for i := range f.instances {
				f.replace(i)
			}
			f.store.change(func() { f.store.streams.latency, f.store.streams.refused = late.latency, late.refused })
			end = f.start()
			started := time.Now()
			for got := ""; got != newRelease.Release && time.Since(started) <= late.most; got = find(f.instances[1], "x") {
				f.store.change(func() { f.store.streams.refused = late.refused && time.Since(started) < away })
				time.Sleep(50 * time.Millisecond)
			}
			if took := time.Since(started); took > late.most {
				t.Errorf("%s: the stream is not found after %v, expected %v", name, took, late.most)
			}
			return end
		})
	}
}

func TestStoreThatDoesNotAnswerDelaysNoTakeUpForLong(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		began := f.beginStreams("x", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.store.change(func() { f.store.streams.refused, f.store.streams.latency = true, time.Second })
		end = f.lossOfAll(end)
		for id := range began {
			asked := time.Now()
			if got := find(f.instances[0], id); got != "unknown" || time.Since(asked) > originTimeout {
				t.Errorf("%s is found at %s after %v", id, got, time.Since(asked))
			}
		}
		f.store.change(func() { f.store.streams.refused, f.store.streams.latency = false, 0 })
		time.Sleep(2 * time.Second)
		f.checkFound("the store is back", began, len(began)*9/10, len(began))
		return end
	})
}

func TestLostHistoryOfTheStoreGivesUnknownReleases(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		lost := f.beginStreams("lost", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.dropStreams()
		kept := f.beginStreams("kept", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		end = f.lossOfAll(end)
		f.checkFound("before the history was dropped", lost, 0, 0)
		f.checkFound("after it", kept, len(kept)*9/10, len(kept))
		return end
	})
}

// restore brings the topic back from a copy with the given number of batches, in a new era, which all
// instances notice by their other calls.
func (f *fleet) restore(batches int) {
	f.store.change(func() {
		topic := &f.store.streams
		topic.batches, topic.era = slices.Clone(topic.batches[:batches]), topic.era+1
		f.store.tablesEra = topic.era
	})
	for _, in := range f.instances {
		in.tablePosition.Store(uint64(oplog.NewPosition(f.store.streams.era, oplog.Position(in.tablePosition.Load()).Offset())))
	}
}

func TestStreamsAreFoundAfterTheStoreWasRestoredFromAnOlderCopy(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		first := f.beginStreams("first", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		f.store.mu.Lock()
		copied := len(f.store.streams.batches)
		f.store.mu.Unlock()
		lost := f.beginStreams("lost", 2*time.Second)
		f.restore(copied)
		last := f.beginStreams("last", 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		end = f.lossOfAll(end)
		for name, began := range map[string]map[string]string{"before the copy": first, "after it": lost, "in the new era": last} {
			f.checkFound(name, began, len(began)*9/10, len(began))
		}
		return end
	})
}

// TestInstanceThatReadTheStoreReadsOn cuts off an instance that has read the records of the store. All others
// are lost, so that it finds later records only there.
func TestInstanceThatReadTheStoreReadsOn(t *testing.T) {
	for name, lose := range map[string]func(f *fleet){
		"nothing is lost": func(*fleet) {},
		"dropped":         func(f *fleet) { f.dropStreams() },
		"restored":        func(f *fleet) { f.restore(1) },
	} {
		withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
			end()
			for i := range f.instances {
				f.replace(i)
			}
			others, last := f.instances[1:], f.instances[:1]
			stopOthers, stopLast := f.startThese(others), f.startThese(last)
			time.Sleep(3 * time.Second)
			begin(f.instances[1], "first", newRelease)
			time.Sleep(time.Second)
			find(f.instances[0], "nobody's")
			f.setCut(f.instances[0], true)
			time.Sleep(3 * time.Second)
			lose(f)
			f.instances = others
			began := f.beginStreams("x", time.Second)
			time.Sleep(500 * time.Millisecond)
			stopOthers()
			f.instances = last
			f.setCut(f.instances[0], false)
			time.Sleep(time.Second)
			f.checkFound(name, began, len(began)*9/10, len(began))
			return func() {
				stopLast()
				f.running.Wait()
			}
		})
	}
}

func (f *fleet) setCut(in *Instance, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[in.config.SiblingAddress] = cut
}

// dropStreams drops the history of the topic, and some records that nobody has read.
func (f *fleet) dropStreams() {
	f.store.change(func() { f.store.streams.first, f.store.streams.batches = f.store.streams.end()+100, nil })
}

// TestSilentSiblingLeavesTimeForTheStore has a sibling that is still taken to serve not answer.
func TestSilentSiblingLeavesTimeForTheStore(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		f.store.change(func() {
			stored := &origin.Message{Origins: []origin.Origin{newRelease}, Began: []origin.Began{{Key: origin.KeyOf("x"), LeftMillis: 20_000}}}
			f.store.streams.batches = append(f.store.streams.batches, stored)
		})
		f.setCut(f.instances[1], true)
		asked := time.Now()
		if got, took := find(f.instances[0], "x"), time.Since(asked); got != newRelease.Release || took != originTimeout {
			t.Errorf("%s after %v, expected %s after the wait for the silent sibling", got, took, newRelease.Release)
		}
		return end
	})
}

func TestInstanceThatStartsReadsTheStoredStreams(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		began := f.beginStreams("x", time.Second)
		time.Sleep(500 * time.Millisecond)
		end = f.lossOfAll(end)
		f.store.change(func() { f.store.streams.refused = true })
		f.checkFound("read before any was taken up", began, len(began)*9/10, len(began))
		return end
	})
}

// The last streams of a server that is back at another release are of unknown release, also where only the
// store has their records.
func TestStoredDoubtOverridesEarlierRecords(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		for i := range 20 {
			begin(f.instances[0], fmt.Sprint("x", i), oldRelease)
		}
		time.Sleep(time.Second)
		doubtStreams(f.instances[0])
		time.Sleep(500 * time.Millisecond)
		end = f.lossOfAll(end)
		for _, in := range f.instances {
			for i := range 20 {
				if got := find(in, fmt.Sprint("x", i)); got != "unknown" {
					t.Errorf("%s guesses %s", in.config.Name, got)
				}
			}
		}
		return end
	})
}

// TestStoredRecordsThatDifferGiveAnUnknownRelease guards against a guess from records that were appended in another
// order than they were made.
func TestStoredRecordsThatDifferGiveAnUnknownRelease(t *testing.T) {
	withTwoReleases(t, originInstances, func(f *fleet, end func()) func() {
		f.store.change(func() {
			for _, at := range []origin.Origin{oldRelease, newRelease, oldRelease} {
				stored := &origin.Message{Origins: []origin.Origin{at}, Began: []origin.Began{{Key: origin.KeyOf("x"), LeftMillis: 20_000}}}
				f.store.streams.batches = append(f.store.streams.batches, stored)
			}
		})
		end = f.lossOfAll(end)
		for _, in := range f.instances {
			if got := find(in, "x"); got != "unknown" {
				t.Errorf("%s guesses %s", in.config.Name, got)
			}
		}
		return end
	})
}

func TestFewCallsStoreAllStreams(t *testing.T) {
	const lasts = 10 * time.Second
	for _, instances := range []int{originInstances, 120} {
		if instances > originInstances && (racedetector.Enabled || testing.Short()) {
			continue
		}
		withTwoReleases(t, instances, func(f *fleet, end func()) func() {
			before, readsBefore := f.store.streamCalls()
			began := f.beginStreams("x", lasts)
			appends, reads := f.store.streamCalls()
			appends, reads = appends-before, reads-readsBefore
			t.Logf("%d instances, %d streams in %v: %d appends, %d reads", instances, len(began), lasts, appends, reads)
			if most := int(lasts/originAppendEvery+1) * originArchivers; appends > most || appends == 0 || reads > 0 {
				t.Errorf("%d instances: %d appends, at most %d are expected, and %d reads", instances, appends, most, reads)
			}
			return end
		})
	}
}

func TestNothingIsStoredWhileOneReleaseServes(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		before, _ := f.store.streamCalls()
		for i := range 500 {
			begin(f.instances[i%originInstances], fmt.Sprint(i), oldRelease)
			find(f.instances[(i+1)%originInstances], fmt.Sprint(i))
			time.Sleep(streamInterval)
		}
		if appends, reads := f.store.streamCalls(); appends > before || reads > 0 {
			t.Errorf("%d appends and %d reads", appends-before, reads)
		}
	})
}

func TestInstancesWithASubsetOfTheServersFindStoredStreams(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		f.store.registerRelease("new", newRelease)
		time.Sleep(4 * time.Second)
		began := f.beginStreams("x", time.Second)
		time.Sleep(500 * time.Millisecond)
		for i := range f.instances {
			// The records are in the store alone.
			f.instances[i].Origins.own, f.instances[i].Origins.kept = origin.NewRecords(originRecords), origin.NewRecords(originRecords)
		}
		f.checkFound("with a subset", began, len(began)*9/10, len(began))
	})
}

func TestQueueOfRecordsForTheStoreIsBounded(t *testing.T) {
	const doubts = 10
	stored := bareInstance("a", new(claims), enginesOf(0, 0)).Origins.stored
	until := time.Now().Add(time.Minute)
	var records []origin.Record
	for i := range 2 * originRecords {
		one := origin.Record{Key: origin.Key(i), At: oldRelease, Until: until}
		if i < doubts {
			one.At = origin.Origin{}
		}
		records = append(records, one)
	}
	stored.enqueue(records[:originRecords]...)
	stored.enqueue(records[originRecords:]...)
	if len(stored.queue) != originRecords || stored.queue[doubts-1].At != (origin.Origin{}) || stored.queue[doubts].Key != originRecords+doubts {
		t.Fatalf("%d records, %v at the %dth", len(stored.queue), stored.queue[doubts], doubts)
	}
	batch := stored.takeBatch(time.Now())
	for range originAppendTries {
		if len(batch) > origin.MaxBatch {
			t.Errorf("a batch of %d records", len(batch))
		}
		stored.requeue(batch)
		batch = stored.takeBatch(time.Now())
	}
	if batch[doubts-1].At != (origin.Origin{}) || batch[doubts].failures > 0 {
		t.Errorf("after %d failures the next records are %v and %v", originAppendTries, batch[doubts-1], batch[doubts])
	}
}
