package instance_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/table"
)

// shareEdit returns an edit of the share of one team.
func shareEdit(id string, base uint64, team, share string) table.Edit {
	key := table.RowKey{Kind: table.Team, Name: team}
	return table.Edit{ID: id, Base: base, Author: "ana", Reason: "session", Changes: []table.Change{
		{Row: key, Column: table.ColShare, Value: share},
	}}
}

// submit sends an edit through an instance, as an operator does.
func (s *session) submit(at *node, edit table.Edit) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	verdict, err := at.Append(ctx, edit.ID, recordOf(s.t, edit))
	switch {
	case err != nil:
		s.recordf("edit %s at %s: not known yet: %v", edit.ID, at.Self().Name, err)
	case verdict.Accepted:
		s.recordf("edit %s at %s: accepted at revision %d", edit.ID, at.Self().Name, verdict.Offset)
	default:
		s.recordf("edit %s at %s: refused: %s", edit.ID, at.Self().Name, verdict.Why)
	}
}

// recordTables records the table that each instance has in force.
func (s *session) recordTables() {
	names := make([]string, 0, len(s.nodes))
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		at := s.nodes[name]
		row, _ := at.Table().Row(table.RowKey{Kind: table.Team, Name: "counter"})
		s.recordf("%s: revision %d, team counter has share %q, table %x", name, at.Table().Revision, row.Cells[table.ColShare], at.Table().Hash())
	}
}

// TestSessionOperatorsRace: two operators edit the same table cell at the same
// time, from the same revision.
func TestSessionOperatorsRace(t *testing.T) {
	runSession(t, func(s *session) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.submit(s.nodes["sabana-1"], shareEdit("ana's", 1, "counter", "3"))
		}()
		<-done
		s.submit(s.nodes["heredia-1"], shareEdit("eva's", 1, "counter", "5"))
		s.submit(s.nodes["heredia-1"], shareEdit("eva's other", 1, "dealer", "5"))
		time.Sleep(time.Second)
		s.recordTables()
	})
}

// TestSessionEditAnswerLost: the log accepts an edit, but its answer is lost.
// The edit is sent again with the same id and applied once.
func TestSessionEditAnswerLost(t *testing.T) {
	runSession(t, func(s *session) {
		s.log.LoseReplies.Store(1)
		s.submit(s.nodes["sabana-1"], shareEdit("e1", 1, "counter", "3"))
		s.submit(s.nodes["heredia-1"], shareEdit("e1", 1, "counter", "3"))
		time.Sleep(time.Second)
		s.recordTables()
	})
}

// TestSessionLogDownForAnHour: the log is down for an hour. Edits are not
// accepted, requests are still served, a new instance starts from a sibling,
// and no accepted edit is lost.
func TestSessionLogDownForAnHour(t *testing.T) {
	runSession(t, func(s *session) {
		s.submit(s.nodes["sabana-1"], shareEdit("before", 1, "counter", "3"))
		s.log.Down.Store(true)
		s.submit(s.nodes["sabana-1"], shareEdit("during", 2, "counter", "4"))
		time.Sleep(30 * time.Minute)
		s.start("cartago-1", "cartago")
		time.Sleep(30 * time.Minute)
		s.recordTables()
		s.sendModelRequest(s.ctx, s.nodes["cartago-1"], prompt(2400), 10, nil)
		s.log.Down.Store(false)
		time.Sleep(2 * time.Second)
		s.submit(s.nodes["cartago-1"], shareEdit("after", 2, "counter", "5"))
		time.Sleep(2 * time.Second)
		s.recordTables()
	})
}

// TestSessionRetentionPassesBy: the log keeps few records. When all instances
// are replaced, the new ones find the table in a snapshot on the log.
func TestSessionRetentionPassesBy(t *testing.T) {
	runSession(t, func(s *session) {
		s.log.Retention = 100
		for n := range 250 {
			s.append(shareEdit(fmt.Sprint("e", n), uint64(n+1), "counter", fmt.Sprint(n%7+1)))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		s.recordTables()
		s.killAndUnlist("sabana-1")
		s.killAndUnlist("heredia-1")
		s.start("sabana-2", "sabana")
		s.start("heredia-2", "heredia")
		time.Sleep(5 * time.Second)
		s.recordTables()
	})
}

// TestSessionBadRecords: all instances reject a record that cannot be read and
// a snapshot that was tampered with.
func TestSessionBadRecords(t *testing.T) {
	runSession(t, func(s *session) {
		for _, record := range []string{"not json", `{"snapshot":{"next":2,"table":{"revision":9,"rows":[]},"hash":5}}`, `{"id":""}`} {
			if _, err := s.log.Append(s.ctx, []byte(record)); err != nil {
				s.t.Fatal(err)
			}
		}
		s.submit(s.nodes["sabana-1"], shareEdit("good", 1, "counter", "3"))
		time.Sleep(time.Second)
		s.recordTables()
		for _, name := range []string{"sabana-1", "heredia-1"} {
			_, bad := s.nodes[name].History()
			s.recordf("%s refused %d records", name, bad)
		}
	})
}

// TestSessionPartedFromLog: one instance cannot reach the log, and follows it
// through its sibling.
func TestSessionPartedFromLog(t *testing.T) {
	runSession(t, func(s *session) {
		s.nodes["heredia-1"].disconnectLog()
		s.submit(s.nodes["sabana-1"], shareEdit("e1", 1, "counter", "3"))
		time.Sleep(2 * time.Second)
		s.recordTables()
	})
}
