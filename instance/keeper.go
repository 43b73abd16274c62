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
	// readBatch is how many log records one read asks for.
	readBatch = 256
	// keptRecords is how many records are kept for siblings that lag.
	keptRecords = 1024
	// logRetryPause is the pause after a read of the log that failed.
	logRetryPause = 500 * time.Millisecond
)

// keeper holds the fold, the tables that it made, and the last records.
type keeper struct {
	fleet *route.Fleet
	// keep says which backend servers are this cell's; nil for all.
	keep func(*table.BackendView) bool

	mu      sync.Mutex
	fold    *table.Fold
	records [][]byte
	// first is the offset of the first of records.
	first uint64

	current atomic.Pointer[inForce]
}

// inForce is a table with its compiled form and its place on the log.
type inForce struct {
	table *table.Table
	view  *table.View
	next  uint64
}

func newKeeper(fleet *route.Fleet) *keeper {
	k := &keeper{fleet: fleet, fold: table.NewFold(), first: 1}
	k.publish()
	return k
}

// Table returns the table in force.
func (k *keeper) Table() *table.Table { return k.current.Load().table }

// View returns the table in force, compiled.
func (k *keeper) View() *table.View { return k.current.Load().view }

// Next returns the log offset that is needed next.
func (k *keeper) Next() uint64 { return k.current.Load().next }

// Verdict returns what was decided about an edit, if its record was seen.
func (k *keeper) Verdict(editID string) (table.Verdict, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Verdict(editID)
}

// Lease returns the state of a lease.
func (k *keeper) Lease(key string) lease.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Lease(key)
}

// History returns the last verdicts, the latest first, and how many records
// were refused as they could not be read or verified.
func (k *keeper) History() (verdicts []table.Verdict, bad int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.History(), k.fold.Bad()
}

// due returns a snapshot record that the log lacks, or nil.
func (k *keeper) due() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	record, err := k.fold.Due()
	if err != nil {
		klog.ErrorS(err, "Snapshot cannot be written")
	}
	return record
}

// add folds records that begin at an offset; those already folded are passed
// over.
func (k *keeper) add(first uint64, records [][]byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, data := range records {
		offset := first + uint64(n)
		if offset < k.fold.Next() {
			continue
		}
		if err := k.fold.Add(offset, data); err != nil {
			return err
		}
		k.keepLocked(offset, data)
	}
	k.publish()
	return nil
}

func (k *keeper) keepLocked(offset uint64, data []byte) {
	if len(k.records) == 0 {
		k.first = offset
	}
	k.records = append(k.records, data)
	if len(k.records) > keptRecords {
		k.records = k.records[1:]
		k.first++
	}
}

// restore takes a whole state from a sibling, or from a record of the log.
func (k *keeper) restore(change func(*table.Fold) error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.fold.Next()
	if err := change(k.fold); err != nil {
		return err
	}
	if k.fold.Next() != before {
		k.records = nil
		k.first = k.fold.Next()
		k.publish()
	}
	return nil
}

func (k *keeper) publish() {
	now := k.fold.Table()
	if current := k.current.Load(); current != nil && current.table == now {
		k.current.Store(&inForce{table: now, view: current.view, next: k.fold.Next()})
		return
	}
	k.publishView(now.Compile())
}

// restrict keeps to some of the backend servers from now on.
func (k *keeper) restrict(keep func(*table.BackendView) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep = keep
	k.publishView(k.fold.Table().Compile())
}

func (k *keeper) publishView(view *table.View) {
	if k.keep != nil {
		view = view.Restrict(k.keep)
	}
	// The fleet first: whoever sees a row in the view finds its server.
	k.fleet.Adopt(view)
	k.current.Store(&inForce{table: k.fold.Table(), view: view, next: k.fold.Next()})
}

// answer returns records from an offset on, or a snapshot when those are no
// longer kept.
func (k *keeper) answer(from uint64) *peer.Records {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := &peer.Records{Next: k.fold.Next()}
	if from >= answer.Next {
		return answer
	}
	if from < k.first || len(k.records) == 0 {
		if snapshot, err := k.fold.Snapshot(); err == nil {
			answer.Snapshot = snapshot
		}
		return answer
	}
	answer.First = from
	answer.Records = append(answer.Records, k.records[from-k.first:]...)
	return answer
}

// followLog folds the log as it grows.
func (i *Instance) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if !i.readsLog() {
			wait.For(ctx, logRetryPause)
			continue
		}
		batch, err := i.deps.Log.Read(ctx, i.keeper.Next(), readBatch)
		if errors.Is(err, oplog.ErrTruncated) {
			err = i.skipToSnapshot(ctx, batch.First)
		} else if err == nil {
			i.refresh()
			err = i.fold(batch)
		}
		if err != nil {
			wait.For(ctx, logRetryPause)
		}
	}
	return ctx.Err()
}

func (i *Instance) fold(batch oplog.Batch) error {
	if len(batch.Records) == 0 {
		return nil
	}
	return i.keeper.add(batch.Records[0].Offset, dataOf(batch.Records))
}

func dataOf(records []oplog.Record) [][]byte {
	data := make([][]byte, 0, len(records))
	for _, record := range records {
		data = append(data, record.Data)
	}
	return data
}

// skipToSnapshot looks through what the log still keeps for a snapshot to
// start from: the records before it are past retention.
func (i *Instance) skipToSnapshot(ctx context.Context, first uint64) error {
	for from := first; ctx.Err() == nil; {
		batch, err := i.deps.Log.Read(ctx, from, readBatch)
		if err != nil {
			return errors.WithMessage(err, "look for a snapshot")
		}
		if len(batch.Records) == 0 {
			return errors.New("the log keeps no snapshot to start from")
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
	i.keeper.restore(func(fold *table.Fold) error {
		restored = fold.RestoreFromRecord(data, first)
		return nil
	})
	return restored
}

const (
	// snapshotLook is how often an instance looks whether the log lacks a
	// snapshot.
	snapshotLook = 5 * time.Second
	// snapshotKey names, with an offset, the instance that writes first.
	snapshotKey = "snapshot"
)

// writeSnapshot writes the snapshot that the log lacks. The instance that owns
// the duty writes at once, the others only when it is still missing the next
// time they look; two are no harm.
func (i *Instance) writeSnapshot(ctx context.Context) {
	record := i.keeper.due()
	if record == nil {
		i.snapshotMissed = false
		return
	}
	if i.ownerOf(snapshotKey) != i.self.Name && !i.snapshotMissed {
		i.snapshotMissed = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	if _, err := i.deps.Log.Append(ctx, record); err != nil {
		klog.V(1).InfoS("Snapshot was not written", "err", err)
	}
}

// catchUp asks a sibling for the records that this instance lacks.
func (i *Instance) catchUp(ctx context.Context, address string) error {
	question := &peer.Message{AskRecords: &peer.AskRecords{From: i.keeper.Next()}}
	answer, err := i.deps.Peers.Call(ctx, address, question)
	if err != nil {
		return err
	}
	if answer.Records == nil {
		return errors.New("sibling sent no records")
	}
	if answer.Records.Snapshot != nil {
		return i.keeper.restore(func(fold *table.Fold) error { return fold.Restore(answer.Records.Snapshot) })
	}
	return i.keeper.add(answer.Records.First, answer.Records.Records)
}

// Append puts an edit's record on the log and waits until its verdict is
// known here, or ctx ends. The error says that the verdict is not known yet.
func (i *Instance) Append(ctx context.Context, editID string, record []byte) (table.Verdict, error) {
	_, appendErr := i.deps.Log.Append(ctx, record)
	if errors.Is(appendErr, oplog.ErrTooFast) {
		return table.Verdict{}, appendErr
	}
	for wait.For(ctx, verdictPoll) {
		if verdict, known := i.keeper.Verdict(editID); known {
			return verdict, nil
		}
	}
	return table.Verdict{}, errors.New("the log has not answered; ask again with the same edit id")
}

// verdictPoll is how often a waiting operator's edit is looked for.
const verdictPoll = 10 * time.Millisecond
