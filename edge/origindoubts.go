package edge

import (
	"maps"
	"time"

	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/registry"
)

// A doubt is a record that nobody can know where a stream began.

// repeatedDoubt is a doubt that is sent so many more times, next at a time.
type repeatedDoubt struct {
	origin.Record
	left int
	next time.Time
}

// removedServer is the last run of a server that left the list at a time.
type removedServer struct {
	run, release string
	at           time.Time
}

// doubtRestarted records that nobody can know where the last streams began of servers that are back
// under their ids at another release. When these streams began, the list may have shown the former run, also if it
// has shown none since.
func (o *origins) doubtRestarted(before, after *registry.View, now time.Time) {
	if before == nil {
		return
	}
	o.noteRemoved(before, after, now)
	replaced, relisted := make(map[origin.Run]bool), make(map[origin.Run]bool)
	for i := range after.Servers {
		server := &after.Servers[i]
		former, wasRemoved := o.removed[server.ID]
		if old := before.Find(server.ID); old != nil {
			former = removedServer{run: old.Run(), release: old.Release}
		} else if !wasRemoved {
			former.release = server.Release
		}
		// The runs of a server that states no start time have one name.
		if former.run == server.Run() && former.release == server.Release {
			continue
		}
		relisted[origin.RunOf(server.Run())] = true
		if former.release != server.Release {
			replaced[origin.RunOf(former.run)] = true
		}
	}
	if len(replaced) > 0 {
		enqueue := func(doubt origin.Record) { o.enqueue(doubt) }
		since := now.Add(-doubtFor)
		o.own.Doubt(replaced, since, now, enqueue)
		// The instances that began these streams may have ended.
		o.kept.Doubt(replaced, since, now, enqueue)
		o.stored.records.Doubt(replaced, since, now, func(origin.Record) {})
	}
	for _, records := range []*origin.Records{o.own, o.kept, o.stored.records} {
		records.Relisted(relisted, now)
	}
}

// noteRemoved remembers the servers that a list no longer has, for as long as their last streams may be doubted.
func (o *origins) noteRemoved(before, after *registry.View, now time.Time) {
	maps.DeleteFunc(o.removed, func(_ string, one removedServer) bool { return now.Sub(one.at) > doubtFor })
	for i := range before.Servers {
		server := &before.Servers[i]
		if after.Find(server.ID) == nil {
			o.removed[server.ID] = removedServer{run: server.Run(), release: server.Release, at: now}
		}
	}
}

// isDoubted reports whether any record says that nobody can know where a stream began. An instance may have
// older records of the stream too: each kind of them gets the stream from elsewhere.
func (o *origins) isDoubted(key origin.Key, now time.Time) bool {
	for _, records := range []*origin.Records{o.own, o.kept, o.stored.records} {
		if at, known := records.Find(key, now); known && at == (origin.Origin{}) {
			return true
		}
	}
	return false
}

// repeatDoubts sends again the doubts that are due, and has those among the records that were just sent be sent
// again, if the stream began here: up to three keepers send the same doubt. They expire with the time that the callers of
// their streams have.
func (o *origins) repeatDoubts(sent []origin.Record, now time.Time) {
	var due []origin.Record
	kept := o.doubts[:0]
	for _, one := range o.doubts {
		if !now.Before(one.next) {
			due = append(due, one.Record)
			one.left--
			one.next = now.Add(doubtRepeatEvery)
		}
		if one.left > 0 && now.Before(one.Until) {
			kept = append(kept, one)
		}
	}
	o.doubts = kept
	o.sendToKeepers(due, nil, now)
	for _, one := range sent {
		if _, own := o.own.Find(one.Key, now); one.IsDoubt() && own && len(o.doubts) < originRecords {
			o.doubts = append(o.doubts, repeatedDoubt{one, doubtRepeats, now.Add(doubtRepeatEvery)})
		}
	}
}
