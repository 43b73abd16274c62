package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/wait"
)

// While the release of a service's streams is not known without their records, a few instances append the
// records to the platform's store in batches. They are read after a loss of all instances that had them.

// StreamLog is a log of records of where streams began, in the platform's store. It may lose records at any
// time.
type StreamLog interface {
	// Append adds a batch. A call with an error may have taken effect.
	Append(ctx context.Context, batch *origin.Message) error
	// Read returns the batches from a position on and the position after them, and whether there are more.
	// oplog.ErrTruncated means that the log no longer has the position.
	Read(ctx context.Context, from oplog.Position) (batches []*origin.Message, next oplog.Position, more bool, err error)
	// Tail returns the position that is the given number of batches before the end of the log, or that of
	// the first batch that the log has.
	Tail(ctx context.Context, batches int) (oplog.Position, error)
}

const (
	// originArchivers is how many instances append records to the store. With a batch each
	// originAppendEvery they make 32 calls a second together, at any number of instances.
	originArchivers   = 4
	originAppendEvery = 125 * time.Millisecond
	// originAppendedBy is how many of them append the record of a stream, so that it does not depend on one
	// datagram or one call.
	originAppendedBy = 2
	// originAppendCalls bounds the calls of an instance that wait for an answer.
	originAppendCalls = 4
	// originAppendTries is how often a record is appended. With the pauses of Instance.backoff that takes
	// some seconds, as long as the store may be away for a moment.
	originAppendTries = 8
	// archiversKey is the key by which these instances are chosen.
	archiversKey origin.Key = 0
)

// storedOrigins appends records of streams to the store and reads them there.
type storedOrigins struct {
	*Instance
	// records holds what was read.
	records *origin.Records
	// appendWoken wakes the loop that appends, and readWoken the one that reads.
	appendWoken, readWoken chan struct{}
	// era is the era of the store in which the own records were last appended. Only origins.run uses it.
	era uint64

	mu    sync.Mutex
	queue []queuedOrigin
	// appendAt is the earliest time of the next append, and appendFailures the number of those that failed
	// since one succeeded.
	appendAt       time.Time
	appendFailures int
	// isRead is closed and replaced at the end of each read. readAt is when the last one began that
	// succeeded.
	isRead chan struct{}
	readAt time.Time
	// unanswered holds the questions of siblings that are answered after the next read.
	unanswered []unansweredOrigin
}

// queuedOrigin is a record that is to be appended, and the number of failed calls.
type queuedOrigin struct {
	origin.Record
	failures int
}

func newStoredOrigins(in *Instance) *storedOrigins {
	return &storedOrigins{
		Instance: in, records: origin.NewRecords(originRecordsRead), isRead: make(chan struct{}),
		appendWoken: make(chan struct{}, 1), readWoken: make(chan struct{}, 1),
	}
}

// archivers returns the instances that append records to the store. Instances with a subset of the servers
// are not among them, so that all others agree on them.
func (o *origins) archivers() directory {
	var all, selected directory
	if !o.registry.View().IsSubset {
		all.add(o.config.Name, "")
	}
	for _, sibling := range o.members.View().Siblings {
		if sibling.Serves() && !sibling.UsesSubset {
			all.add(sibling.Name, sibling.Peer)
		}
	}
	for _, i := range origin.Keepers(archiversKey, all.names, originArchivers) {
		selected.add(all.names[i], all.addresses[i])
	}
	return selected
}

// sendToStore adds each record to the messages for the instances that append it.
func (o *origins) sendToStore(records []origin.Record, messages *recordMessages) {
	archivers := o.archivers()
	if len(archivers.names) == 0 {
		o.deps.OriginLog.Records(metrics.OriginDropped, len(records))
		return
	}
	var own []origin.Record
	for _, one := range records {
		for _, i := range origin.Keepers(one.Key, archivers.names, originAppendedBy) {
			if to := archivers.addresses[i]; to != "" {
				messages.add(to, one, true)
			} else {
				own = append(own, one)
			}
		}
	}
	o.stored.enqueue(own...)
}

// reviewStored requests the first read after a start, and appends the own records again once the store was
// restored from an older copy, which may lack them.
func (o *origins) reviewStored(now time.Time) {
	if o.stored.isFirstReadDue(now) {
		o.stored.requestRead()
	}
	era := o.Instance.era()
	if era <= o.stored.era {
		return
	}
	o.stored.era = era
	records := o.ambiguousRecords(now)
	if len(records) == 0 {
		return
	}
	klog.InfoS("Records of streams are appended again in a new era of the store", "era", era, "records", len(records))
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	o.sendToStore(records, &messages)
	messages.flush()
}

// enqueue queues records that are to be appended.
func (s *storedOrigins) enqueue(records ...origin.Record) {
	if len(records) == 0 {
		return
	}
	queued := make([]queuedOrigin, 0, len(records))
	for _, one := range records {
		if one.At.CanBeStored() {
			queued = append(queued, queuedOrigin{Record: one})
		}
	}
	s.mu.Lock()
	s.queue = append(s.queue, queued...)
	dropped := len(records) - len(queued) + s.trim()
	s.mu.Unlock()
	s.deps.OriginLog.Records(metrics.OriginDropped, dropped)
	wake(s.appendWoken)
}

// trim drops the excess of the queue and returns the number of records. The caller holds the lock.
func (s *storedOrigins) trim() (dropped int) {
	s.queue, dropped = dropExcess(s.queue, func(one *queuedOrigin) bool { return one.IsDoubt() })
	return dropped
}

// dropExcess drops the oldest records beyond originRecords and returns their number. Those that nobody can know
// where a stream began go last: without them an older record would count.
func dropExcess[T any](records []T, isDoubt func(one *T) bool) (kept []T, dropped int) {
	excess := len(records) - originRecords
	if excess <= 0 {
		return records, 0
	}
	kept = slices.DeleteFunc(records, func(one T) bool {
		drop := dropped < excess && !isDoubt(&one)
		if drop {
			dropped++
		}
		return drop
	})
	return kept[excess-dropped:], excess
}

// appendLoop appends what is queued until ctx ends, one batch each originAppendEvery. It does not wait for the
// answer to a call before the next one: records that wait are lost with this instance.
func (s *storedOrigins) appendLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, originAppendCalls)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.appendWoken:
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		if !s.awaitAppend(ctx) {
			return
		}
		batch := s.takeBatch(clock.Now())
		if len(batch) == 0 {
			<-slots
			continue
		}
		calls.Go(func() {
			defer func() { <-slots }()
			s.append(ctx, batch)
		})
		s.wakeAppend()
	}
}

// awaitAppend waits until the next call may be made. It returns false if ctx ended first.
func (s *storedOrigins) awaitAppend(ctx context.Context) bool {
	for {
		now := clock.Now()
		s.mu.Lock()
		left := s.appendAt.Sub(now)
		if left <= 0 {
			s.appendAt = now.Add(originAppendEvery)
		}
		s.mu.Unlock()
		if left <= 0 {
			return true
		}
		if !wait.For(ctx, left) {
			return false
		}
	}
}

// append appends a batch, or queues it again.
func (s *storedOrigins) append(ctx context.Context, batch []queuedOrigin) {
	err := s.deps.Streams.Append(ctx, batchOf(batch, clock.Now()))
	now := clock.Now()
	s.mu.Lock()
	if err == nil {
		s.appendFailures = 0
	} else {
		s.appendFailures++
		if next := now.Add(s.backoff(s.appendFailures)); next.After(s.appendAt) {
			s.appendAt = next
		}
	}
	s.mu.Unlock()
	if err != nil {
		klog.V(1).InfoS("Failed to append records of streams to the store", "records", len(batch), "err", err.Error())
		s.requeue(batch)
		return
	}
	s.deps.OriginLog.Records(metrics.OriginAppended, len(batch))
}

// takeBatch removes the next batch from the queue.
func (s *storedOrigins) takeBatch(now time.Time) []queuedOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(one queuedOrigin) bool { return one.Until.Sub(now) < time.Millisecond })
	origins := make(map[origin.Origin]bool)
	count := 0
	for ; count < min(len(s.queue), origin.MaxBatch); count++ {
		if origins[s.queue[count].At] = true; len(origins) > origin.MaxBatchOrigins {
			break
		}
	}
	batch := slices.Clone(s.queue[:count])
	s.queue = s.queue[count:]
	return batch
}

// requeue puts a batch back that could not be appended, without the records that failed too often. Those
// that nobody can know where a stream began stay until they expire.
func (s *storedOrigins) requeue(batch []queuedOrigin) {
	kept := batch[:0]
	for _, one := range batch {
		if one.failures++; one.failures < originAppendTries || one.IsDoubt() {
			kept = append(kept, one)
		}
	}
	s.mu.Lock()
	s.queue = append(slices.Clone(kept), s.queue...)
	dropped := len(batch) - len(kept) + s.trim()
	s.mu.Unlock()
	s.deps.OriginLog.Records(metrics.OriginDropped, dropped)
	s.wakeAppend()
}

// wakeAppend wakes the loop that appends if something is queued.
func (s *storedOrigins) wakeAppend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		wake(s.appendWoken)
	}
}

// batchOf returns a batch of records with the time that their callers have left.
func batchOf(records []queuedOrigin, now time.Time) *origin.Message {
	batch := &origin.Message{Began: make([]origin.Began, 0, len(records)), SentMillis: now.UnixMilli()}
	for _, one := range records {
		began, run := one.Message(batch.Index(one.At), runMattersFor, now)
		began.LeftMillis = max(began.LeftMillis, 1)
		batch.Began, batch.BeganRuns = append(batch.Began, began), append(batch.BeganRuns, run)
	}
	return batch
}
