package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/wait"
)

// Only instances that know all servers read the records that the store has. The others ask their hubs.

const (
	// originRecordsRead bounds the records that were read: those of a minute at 1,000 streams a second.
	originRecordsRead = 65_536
	// originReadEvery is the least pause between two reads. A record that was not there at the last read is
	// then that of a stream whose keepers still have it.
	originReadEvery = 500 * time.Millisecond
	// originBatchesRead is how many of the newest batches the first read gets: those of two minutes, at a
	// batch of each of originArchivers each originAppendEvery.
	originBatchesRead = 4096
	// originReadCalls bounds the calls of one read.
	originReadCalls = 16
	// originUnanswered bounds the questions of siblings that wait for a read.
	originUnanswered = 4096
)

// unansweredOrigin is a question of the sibling at an address.
type unansweredOrigin struct {
	key     origin.Key
	address string
}

// reads reports whether this instance reads the records that the store has.
func (s *storedOrigins) reads() bool {
	list := s.registry.View()
	return list.Position > 0 && !list.IsSubset
}

// requestRead makes the loop that reads do so. The returned channel is closed at the end of a read.
func (s *storedOrigins) requestRead() <-chan struct{} {
	if s.reads() {
		wake(s.readWoken)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRead
}

// find looks for a stream among the records of the store. It reads them until ctx ends if the last read is
// too long ago. Without an answer of the store the records count that were read before.
func (s *storedOrigins) find(ctx context.Context, key origin.Key) (origin.Origin, bool) {
	if !s.reads() {
		return origin.Origin{}, false
	}
	if !s.isFresh(clock.Now()) {
		select {
		case <-s.requestRead():
		case <-ctx.Done():
		}
	}
	return s.findRead(key, clock.Now())
}

// findRead looks for a stream among the records that were read. The server of a record may be back at another release:
// nobody can know then where a stream began that, by the clocks of the server and of the record's writer, did so when
// the server may have been that later run. An instance that has just started has not seen the former run.
func (s *storedOrigins) findRead(key origin.Key, now time.Time) (origin.Origin, bool) {
	one, known := s.records.FindRecord(key, now)
	if !known || one.Run == 0 {
		return one.At, known
	}
	servers := s.registry.View().Servers
	for i := range servers {
		server := &servers[i].Entry
		if server.Service != one.At.Service || server.Release == one.At.Release {
			continue
		}
		run := origin.RunOf(server.Run())
		if server.Born == 0 {
			if run == one.Run {
				// All runs of the server have one name: it may have been the later one at any time.
				return origin.Origin{}, true
			}
			continue
		}
		if run.IsOtherRunOf(one.Run) && one.Began.After(time.UnixMilli(server.Born).Add(-doubtFor)) {
			return origin.Origin{}, true
		}
	}
	return one.At, true
}

// isFresh reports whether the last read is recent.
func (s *storedOrigins) isFresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.readAt.IsZero() && now.Sub(s.readAt) <= originReadEvery
}

// isFirstReadDue reports whether this instance has not read the records since its start and needs them:
// several releases of a service served lately.
func (s *storedOrigins) isFirstReadDue(now time.Time) bool {
	s.mu.Lock()
	read := !s.readAt.IsZero()
	s.mu.Unlock()
	releases := s.Origins.releases
	if read || !s.reads() || now.Sub(s.started) > releases.Window() {
		return false
	}
	services := make(map[string]bool)
	for at := range releases.Retained(now) {
		if services[at.Service] {
			return true
		}
		services[at.Service] = true
	}
	return false
}

// answerLater records a question of a sibling that is answered after the next read. It returns false if this
// instance does not read, or too many questions wait.
func (s *storedOrigins) answerLater(key origin.Key, address string) bool {
	if !s.reads() {
		return false
	}
	s.mu.Lock()
	if len(s.unanswered) >= originUnanswered {
		s.mu.Unlock()
		return false
	}
	s.unanswered = append(s.unanswered, unansweredOrigin{key, address})
	s.mu.Unlock()
	if s.isFresh(clock.Now()) {
		s.answerWaiting()
	} else {
		s.requestRead()
	}
	return true
}

// answerWaiting answers the questions that waited for a read.
func (s *storedOrigins) answerWaiting() {
	s.mu.Lock()
	unanswered := s.unanswered
	s.unanswered = nil
	s.mu.Unlock()
	now := clock.Now()
	replies := make(map[string]*origin.Message)
	for _, question := range unanswered {
		reply := replies[question.address]
		if reply == nil {
			reply = new(origin.Message)
			replies[question.address] = reply
		}
		answer := origin.Answer{Key: question.key, At: origin.Unknown}
		at, known := s.findRead(question.key, now)
		if known && s.Origins.isDoubted(question.key, now) {
			at = origin.Origin{}
		}
		if known {
			answer.At = reply.Index(at)
		}
		if reply.Answers = append(reply.Answers, answer); len(reply.Answers) == originsInMessage {
			s.send(heartbeat.Message{Origins: reply}, question.address)
			delete(replies, question.address)
		}
	}
	for address, reply := range replies {
		s.send(heartbeat.Message{Origins: reply}, address)
	}
}

// readLoop reads the records of the store when that is requested, until ctx ends.
func (s *storedOrigins) readLoop(ctx context.Context) {
	reader := &originReader{storedOrigins: s}
	failures := 0
	for pause := time.Duration(0); wait.For(ctx, pause); {
		select {
		case <-ctx.Done():
			return
		case <-s.readWoken:
		}
		began := clock.Now()
		err := reader.read(ctx)
		s.mu.Lock()
		if err == nil {
			s.readAt = began
		}
		close(s.isRead)
		s.isRead = make(chan struct{})
		s.mu.Unlock()
		s.answerWaiting()
		if pause = originReadEvery; err == nil {
			failures = 0
			s.deps.OriginLog.Read(metrics.OriginReadOK)
			continue
		}
		failures++
		pause = max(pause, s.backoff(failures))
		s.deps.OriginLog.Read(metrics.OriginReadFailed)
		klog.V(1).InfoS("Failed to read the records of streams that the store has", "tookMillis", clock.Since(began).Milliseconds(), "err", err.Error())
	}
}

// originReader is the place up to which the records of the store were read.
type originReader struct {
	*storedOrigins
	// next is the position from which to read on, if known is set.
	next  oplog.Position
	known bool
}

// read reads all records that the store has since the last read. What was read before stays, whatever the
// store has lost since.
func (r *originReader) read(ctx context.Context) error {
	for range originReadCalls {
		more, err := r.readPage(ctx)
		if errors.Is(err, oplog.ErrTruncated) {
			r.known = false
			r.deps.OriginLog.Read(metrics.OriginReadTruncated)
			continue
		}
		if err != nil || !more {
			return err
		}
	}
	wake(r.readWoken)
	return errors.New("records of streams: the end of the log was not reached")
}

// readPage makes one call for the next records.
func (r *originReader) readPage(ctx context.Context) (more bool, err error) {
	if !r.known {
		if r.next, err = r.deps.Streams.Tail(ctx, originBatchesRead); err != nil {
			return false, errors.WithMessage(err, "find the end of the records of streams")
		}
		r.known = true
	}
	batches, next, more, err := r.deps.Streams.Read(ctx, r.next)
	if err != nil {
		return false, errors.WithMessage(err, "read the records of streams")
	}
	now := clock.Now()
	for _, batch := range batches {
		batch.EachRecord(batch.Began, batch.BeganRuns, batch.SentAt(), now, func(one origin.Record) { r.records.Merge(one, now) })
	}
	r.next = next
	return more, nil
}

// withHubs adds the hubs of this instance's zone to the addresses that a question goes to, if this instance
// does not read the records of the store itself.
func (o *origins) withHubs(addresses []string) []string {
	if !o.registry.View().IsSubset {
		return addresses
	}
	known := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		known[address] = true
	}
	for _, hub := range o.hubsOfZones(clock.Now())[o.config.Zone] {
		if hub.Name != o.config.Name && !known[hub.Peer] {
			addresses = append(addresses, hub.Peer)
		}
	}
	return addresses
}

// wake ends the pause of a loop.
func wake(woken chan<- struct{}) {
	select {
	case woken <- struct{}{}:
	default:
	}
}
