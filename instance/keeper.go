package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/wait"
)

const (
	// readBatch is the maximum number of log records that one read requests.
	readBatch = 256
	// maxRecentRecords is how many records are kept for siblings that lag
	// behind.
	maxRecentRecords = 1024
	// logRetryDelay is the delay after a read of the log that failed, or
	// between checks whether this instance should read the log.
	logRetryDelay = 500 * time.Millisecond
)

// tableState holds the fold of the platform's log (the state after its records are applied
// in order), the tables that result from it, and the most recent log records.
type tableState struct {
	fleet *route.Fleet
	// inCell reports whether a backend server belongs to this instance's cell (the group of
	// instances that know each other fully). If it is nil, all servers do.
	inCell func(*table.BackendView) bool

	mu      sync.Mutex
	fold    *table.Fold
	records [][]byte
	// first is the offset of the first record in records.
	first uint64

	current atomic.Pointer[tableVersion]
}

// tableVersion is a table with its compiled form and the next offset of the
// log.
type tableVersion struct {
	table *table.Table
	view  *table.View
	next  uint64
}

func newTableState(fleet *route.Fleet) *tableState {
	s := &tableState{fleet: fleet, fold: table.NewFold(), first: 1}
	s.publish()
	return s
}

// Table returns the table in force.
func (s *tableState) Table() *table.Table { return s.current.Load().table }

// View returns the table in force in compiled form.
func (s *tableState) View() *table.View { return s.current.Load().view }

// Next returns the offset of the next log record to fold.
func (s *tableState) Next() uint64 { return s.current.Load().next }

// Verdict returns the verdict on an edit if its record was read.
func (s *tableState) Verdict(editID string) (table.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Verdict(editID)
}

// Lease returns the state of a lease.
func (s *tableState) Lease(key string) lease.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Lease(key)
}

// History returns the last verdicts, the latest first, and how many records
// were rejected because they could not be read or verified.
func (s *tableState) History() (verdicts []table.Verdict, bad int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.History(), s.fold.BadRecords()
}

// dueSnapshot returns a snapshot record that the log lacks, or nil.
func (s *tableState) dueSnapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, err := s.fold.Due()
	if err != nil {
		klog.ErrorS(err, "Failed to encode the table snapshot as a record of the platform's log")
	}
	return record
}

// apply folds records that begin at an offset. It skips those that are already
// folded.
func (s *tableState) apply(first uint64, records [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, data := range records {
		offset := first + uint64(n)
		if offset < s.fold.Next() {
			continue
		}
		if err := s.fold.Add(offset, data); err != nil {
			return err
		}
		s.appendRecordLocked(offset, data)
	}
	s.publish()
	return nil
}

func (s *tableState) appendRecordLocked(offset uint64, data []byte) {
	if len(s.records) == 0 {
		s.first = offset
	}
	s.records = append(s.records, data)
	if len(s.records) > maxRecentRecords {
		s.records = s.records[1:]
		s.first++
	}
}

// restore replaces the whole state with one from a sibling or from a record of
// the log.
func (s *tableState) restore(change func(*table.Fold) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.fold.Next()
	if err := change(s.fold); err != nil {
		return err
	}
	if s.fold.Next() != before {
		s.records = nil
		s.first = s.fold.Next()
		s.publish()
	}
	return nil
}

func (s *tableState) publish() {
	now := s.fold.Table()
	if current := s.current.Load(); current != nil && current.table == now {
		s.current.Store(&tableVersion{table: now, view: current.view, next: s.fold.Next()})
		return
	}
	s.publishView(now.Compile())
}

// restrict limits the view to the backend servers of a cell from now on.
func (s *tableState) restrict(inCell func(*table.BackendView) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inCell = inCell
	s.publishView(s.fold.Table().Compile())
}

func (s *tableState) publishView(view *table.View) {
	if s.inCell != nil {
		view = view.Restrict(s.inCell)
	}
	// Update the fleet first, so that a reader who sees a row in the view finds
	// its server.
	s.fleet.Adopt(view)
	s.current.Store(&tableVersion{table: s.fold.Table(), view: view, next: s.fold.Next()})
}

// recordsFrom returns the records from an offset on, or a snapshot if those
// records are no longer kept.
func (s *tableState) recordsFrom(from uint64) *peer.Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &peer.Records{Next: s.fold.Next()}
	if from >= answer.Next {
		return answer
	}
	if from < s.first || len(s.records) == 0 {
		if snapshot, err := s.fold.Snapshot(); err == nil {
			answer.Snapshot = snapshot
		}
		return answer
	}
	answer.First = from
	answer.Records = append(answer.Records, s.records[from-s.first:]...)
	return answer
}

// followLog reads the log and folds its records as they arrive.
func (i *Instance) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if !i.readsLog() {
			wait.For(ctx, logRetryDelay)
			continue
		}
		batch, err := i.deps.Log.Read(ctx, i.tables.Next(), readBatch)
		if errors.Is(err, oplog.ErrTruncated) {
			err = i.skipToSnapshot(ctx, batch.First)
		} else if err == nil {
			i.recordContact()
			err = i.fold(batch)
		}
		if err != nil {
			wait.For(ctx, logRetryDelay)
		}
	}
	return ctx.Err()
}

func (i *Instance) fold(batch oplog.Batch) error {
	if len(batch.Records) == 0 {
		return nil
	}
	return i.tables.apply(batch.Records[0].Offset, dataOf(batch.Records))
}

func dataOf(records []oplog.Record) [][]byte {
	data := make([][]byte, 0, len(records))
	for _, record := range records {
		data = append(data, record.Data)
	}
	return data
}

// skipToSnapshot searches the records that the log still keeps for a snapshot
// to start from. It is used when earlier records are past retention.
func (i *Instance) skipToSnapshot(ctx context.Context, first uint64) error {
	for from := first; ctx.Err() == nil; {
		batch, err := i.deps.Log.Read(ctx, from, readBatch)
		if err != nil {
			return errors.WithMessage(err, "search the log for a table snapshot")
		}
		if len(batch.Records) == 0 {
			return errors.New("search the log for a table snapshot: none found")
		}
		for _, record := range batch.Records {
			if i.restoreRecord(record.Data, batch.First) {
				return nil
			}
			from = record.Offset + 1
		}
	}
	return ctx.Err()
}

func (i *Instance) restoreRecord(data []byte, first uint64) (restored bool) {
	i.tables.restore(func(fold *table.Fold) error {
		restored = fold.RestoreFromRecord(data, first)
		return nil
	})
	return restored
}

const (
	// snapshotCheckEvery is how often an instance checks whether the log lacks
	// a snapshot.
	snapshotCheckEvery = 5 * time.Second
	// snapshotKey is the key whose owner writes the snapshot first.
	snapshotKey = "snapshot"
)

// writeSnapshot writes the snapshot that the log lacks. The owner of snapshotKey writes it
// immediately. The other instances write it only if it is still missing at their next
// check. Two snapshots do no harm.
func (i *Instance) writeSnapshot(ctx context.Context) {
	record := i.tables.dueSnapshot()
	if record == nil {
		i.snapshotWasMissing = false
		return
	}
	if i.ownerOf(snapshotKey) != i.self.Name && !i.snapshotWasMissing {
		i.snapshotWasMissing = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	if _, err := i.deps.Log.Append(ctx, record); err != nil {
		klog.V(1).InfoS("Failed to append the table snapshot to the platform's log", "err", err)
	}
}

// catchUp requests the records that this instance lacks from a sibling.
func (i *Instance) catchUp(ctx context.Context, address string) error {
	query := &peer.Message{AskRecords: &peer.RecordsRequest{From: i.tables.Next()}}
	answer, err := i.deps.Peers.Call(ctx, address, query)
	if err != nil {
		return err
	}
	if answer.Records == nil {
		return errors.New("answer of the sibling contains no log records")
	}
	if answer.Records.Snapshot != nil {
		return i.tables.restore(func(fold *table.Fold) error { return fold.Restore(answer.Records.Snapshot) })
	}
	return i.tables.apply(answer.Records.First, answer.Records.Records)
}

// Append appends an edit's record to the log and waits until its verdict is
// known here or ctx ends. An error means that the verdict is not known yet.
func (i *Instance) Append(ctx context.Context, editID string, record []byte) (table.Verdict, error) {
	_, appendErr := i.deps.Log.Append(ctx, record)
	if errors.Is(appendErr, oplog.ErrTooFast) {
		return table.Verdict{}, appendErr
	}
	for wait.For(ctx, verdictPoll) {
		if verdict, known := i.tables.Verdict(editID); known {
			return verdict, nil
		}
	}
	return table.Verdict{}, errors.New("the log has not answered; ask again with the same edit id")
}

// verdictPoll is how often the verdict on an edit is checked while an operator
// waits for it.
const verdictPoll = 10 * time.Millisecond
