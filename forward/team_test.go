package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// withTeams gives a bench the teams "a", with a limit, and "b", each with a key of its
// name, and makes its route "safe" public if wanted.
func (b *bench) withTeams(limit allotment.Limit, public bool) *allotment.Ledger {
	view := *b.View.Table()
	view.Keyed = true
	a := &table.TeamView{Name: "a", Keyed: true, Allotment: table.Allotment{
		Unit: table.UnitTokens, Rate: limit.Rate, Burst: limit.Burst, PlainTokens: 100,
	}}
	view.Keys = map[table.KeyDigest]*table.TeamView{
		table.DigestOf("key-a"): a, table.DigestOf("key-b"): {Name: "b", Keyed: true},
	}
	if public {
		view.Route("h", "/safe/").Public = true
	}
	b.View.(*testView).view = &view
	ledger := allotment.New(allotment.DefaultConfig(), func() float64 { return 0 })
	ledger.SetLimits(map[string]allotment.Limit{"other": limit}, time.Now())
	ledger.SetLimits(map[string]allotment.Limit{"a": limit}, time.Now())
	b.Allotments = ledger
	return ledger
}

func (b *bench) show(r *Request, key string) *Reply {
	r.Key, r.HasKey = table.DigestOf(key), true
	return b.serve(r)
}

func TestOnlyKeysOfTheTableAreServed(t *testing.T) {
	play(t, func(b *bench) {
		b.withTeams(allotment.Limit{}, false)
		for name, reply := range map[string]*Reply{
			"no key": b.serve(b.plain("1")), "an unknown key": b.show(b.plain("2"), "key-c"), "of a stream": b.show(b.generation("3", 100), ""),
		} {
			if reply.Status != 401 || reply.Reason != reason.UnknownKey {
				t.Errorf("%s: %d %s", name, reply.Status, reply.Reason)
			}
		}
		if sent := b.did(""); sent != 0 {
			t.Errorf("%d calls to servers", sent)
		}
		request := b.plain("4")
		if reply := b.show(request, "key-b"); reply.Status != 200 || request.Team != "b" {
			t.Errorf("%d for team %q", reply.Status, request.Team)
		}
	})
}

func TestPublicRoutesNeedNoKey(t *testing.T) {
	play(t, func(b *bench) {
		b.withTeams(allotment.Limit{}, true)
		request := b.plain("1")
		if reply := b.serve(request); reply.Status != 200 || request.Team != "" {
			t.Errorf("%d for team %q", reply.Status, request.Team)
		}
		if reply := b.serve(b.generation("2", 100)); reply.Status != 401 {
			t.Errorf("%d on a route that is not public", reply.Status)
		}
	})
}

// Before there is a table nobody can say that a key is unknown.
func TestWithoutATableNoKeyIsRefused(t *testing.T) {
	b := newBench(t)
	b.View.(*testView).view = nil
	if reply := b.show(b.plain("1"), "key-a"); reply.Status != 503 || reply.Reason != reason.StaleTable {
		t.Errorf("%d %s", reply.Status, reply.Reason)
	}
}

// A team that has used what it may is told at once, and when to come back; nothing of
// the request has reached a server.
func TestATeamIsRefusedBeyondItsAllotment(t *testing.T) {
	play(t, func(b *bench) {
		b.withTeams(allotment.Limit{Rate: 1000, Burst: 100}, false)
		if reply := b.show(b.generation("1", testPrompt), "key-a"); reply.Status != 200 {
			t.Fatalf("%d", reply.Status)
		}
		sent := b.did("")
		began := time.Now()
		reply := b.show(b.plain("2"), "key-a")
		if reply.Status != 429 || reply.Reason != reason.OverAllotment || time.Since(began) != 0 {
			t.Errorf("%d %s after %v", reply.Status, reply.Reason, time.Since(began))
		}
		// It owes 4,000 and 2,000 less what it had; a second brings 1,000.
		if reply.RetryAfter < 4*time.Second || reply.RetryAfter > 7*time.Second {
			t.Errorf("to come back after %v", reply.RetryAfter)
		}
		if now := b.did(""); now != sent {
			t.Errorf("%d calls to servers", now-sent)
		}
		if reply := b.show(b.plain("3"), "key-b"); reply.Status != 200 {
			t.Errorf("another team: %d", reply.Status)
		}
	})
}

// What is refused for want of memory did not run, and counts for nothing.
func TestARefusedRequestCountsForNothing(t *testing.T) {
	play(t, func(b *bench) {
		ledger := b.withTeams(allotment.Limit{Rate: 1000, Burst: 100}, false)
		b.engines.reserve = func(string) error { return &NotRun{Why: reason.BackendRefused, Sent: true} }
		if reply := b.show(b.generation("1", testPrompt), "key-a"); reply.Status != 503 {
			t.Fatalf("%d", reply.Status)
		}
		if left := ledger.Admit("a", 0, time.Now()).Left; left != 100 {
			t.Errorf("%v left of 100", left)
		}
	})
}
