package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/wait"
)

// The records of streams are sent to the instances that keep them, and to those that append them to the store.

// run sends the records of streams to their keepers until ctx ends, and the records of all streams of a
// service once its release is no longer known without them. It is woken when there is something to send,
// and by each tick of the instance.
func (o *origins) run(ctx context.Context) {
	for more := true; more; more = wait.For(ctx, originBatch) {
		select {
		case <-ctx.Done():
			return
		case <-o.woken:
		}
		now := clock.Now()
		o.reviewServices(now)
		o.reviewStored(now)
		o.mu.Lock()
		unsent, newcomers := o.unsent, o.newcomers
		o.unsent, o.newcomers = nil, nil
		o.mu.Unlock()
		o.sendRecords(unsent, now)
		o.repeatDoubts(unsent, now)
		if len(newcomers) > 0 {
			// Doubts of siblings are sent too: the siblings may have ended.
			o.sendToKeepers(append(o.ambiguousRecords(now), recordsOf(o.kept, noService, now)...), newcomers, now)
		}
	}
}

// ambiguousRecords returns the own doubts, and the own records of all services whose streams' release is not known
// without them.
func (o *origins) ambiguousRecords(now time.Time) []origin.Record {
	o.mu.Lock()
	ambiguous := maps.Clone(o.ambiguous)
	o.mu.Unlock()
	records := recordsOf(o.own, noService, now)
	for service, is := range ambiguous {
		if is {
			records = append(records, recordsOf(o.own, service, now)...)
		}
	}
	return records
}

// noService is the service of doubts: nobody can know where the stream began.
const noService = ""

// reviewServices queues the records of a service's streams when its release is no longer known without
// them.
func (o *origins) reviewServices(now time.Time) {
	for service := range o.own.Services() {
		if service == noService {
			continue
		}
		_, sole := o.soleRelease(service, now)
		o.mu.Lock()
		before := o.ambiguous[service]
		o.ambiguous[service] = !sole
		o.mu.Unlock()
		if !sole && !before {
			if records := recordsOf(o.own, service, now); len(records) > 0 {
				o.enqueue(records...)
			}
		}
	}
}

// recordsOf returns the records of a service that have not expired.
func recordsOf(all *origin.Records, service string, now time.Time) (records []origin.Record) {
	all.Each(service, now, func(one origin.Record) { records = append(records, one) })
	return records
}

// sendRecords sends records to their keepers and to the instances that append them to the store.
func (o *origins) sendRecords(records []origin.Record, now time.Time) {
	if len(records) == 0 {
		return
	}
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	messages.addForKeepers(records, nil)
	o.sendToStore(records, &messages)
	messages.flush()
}

// sendToKeepers sends records to their keepers or, if only is not nil, to those that have the given addresses.
func (o *origins) sendToKeepers(records []origin.Record, only []string, now time.Time) {
	if len(records) == 0 {
		return
	}
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	messages.addForKeepers(records, only)
	messages.flush()
}

// recordMessages collects the records that are to be sent to each address.
type recordMessages struct {
	*origins
	now time.Time
	to  map[string]*origin.Message
}

// addForKeepers adds each record for its keepers, if they have one of the given addresses or only is nil. A
// doubt goes to all instances that may be asked: any of them may have an older record.
func (m *recordMessages) addForKeepers(records []origin.Record, only []string) {
	known := m.directory()
	for _, one := range records {
		keepers := originKeepers
		if one.IsDoubt() {
			keepers = originAsked
		}
		for _, keeper := range known.keepers(one.Key, keepers) {
			if only == nil || slices.Contains(only, keeper) {
				m.add(keeper, one, false)
			}
		}
	}
}

// add adds a record for an instance, which is to keep it or to append it to the store.
func (m *recordMessages) add(address string, one origin.Record, toStore bool) {
	message := m.to[address]
	if message == nil {
		message = new(origin.Message)
		m.to[address] = message
	}
	began, run := one.Message(message.Index(one.At), runMattersFor, m.now)
	if toStore {
		message.ToStore, message.ToStoreRuns = append(message.ToStore, began), append(message.ToStoreRuns, run)
	} else {
		message.Began, message.BeganRuns = append(message.Began, began), append(message.BeganRuns, run)
	}
	if len(message.Began)+len(message.ToStore) == originsInMessage {
		m.send(heartbeat.Message{Origins: message}, address)
		delete(m.to, address)
	}
}

// flush sends what has not been sent.
func (m *recordMessages) flush() {
	for address, message := range m.to {
		m.send(heartbeat.Message{Origins: message}, address)
	}
}
