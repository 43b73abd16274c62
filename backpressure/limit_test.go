package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// named is an answer that names a limit, and silent one that names none.
func named(rate float64) Statement { return Statement{Kind: Plain, Limited: true, Limit: rate} }

var silent = Statement{Kind: Plain}

// alone returns the tracker of the only instance.
func alone() *Tracker {
	tracker := New(rand.New(rand.NewPCG(1, 2)).Float64)
	tracker.SetInstances(Instances{Self: "i", Taking: []string{"i"}})
	return tracker
}

func TestALimitHoldsUntilAnAnswerNamesNone(t *testing.T) {
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	for name, test := range map[string]struct {
		said       Statement
		sent       int
		stillNamed bool
	}{
		"a later answer":                       {silent, 20, false},
		"an answer to a call sent before":      {silent, 5, true},
		"a refusal":                            {Statement{Kind: Plain, Refused: true}, 20, true},
		"an answer that cannot be read":        {Statement{Kind: Plain, Unreadable: true}, 20, true},
		"an answer to another kind of call":    {Statement{Kind: Reserve}, 20, true},
		"an answer that names it again":        {named(5), 20, true},
		"an answer that names another, sent 5": {named(7), 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := alone().Server("s")
			server.Heard(named(5), at(0), at(10))
			server.Heard(test.said, at(test.sent), at(30))
			if _, limited := server.Limit(); limited != test.stillNamed {
				t.Errorf("limited: %t", limited)
			}
		})
	}
}

// Answers of a rare kind may be the last to name a limit; those of any kind that has named
// it end it.
func TestALimitEndsWithAnAnswerOfAnyKindThatHasNamedIt(t *testing.T) {
	server, start := alone().Server("s"), time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	server.Heard(named(5), at(0), at(10))
	server.Heard(Statement{Kind: Report, Limited: true, Limit: 5}, at(20), at(30))
	server.Heard(Statement{Kind: Release}, at(40), at(50))
	if _, limited := server.Limit(); !limited {
		t.Fatal("ended by an answer of a kind that has never named it")
	}
	server.Heard(silent, at(60), at(70))
	if _, limited := server.Limit(); limited {
		t.Error("still limited")
	}
}

func TestChangesAreToldOnce(t *testing.T) {
	tracker, start := alone(), time.Now()
	var told []Change
	hurried := 0
	tracker.OnChange(func(change Change) { told = append(told, change) }, func() { hurried++ })
	server := tracker.Server("s")
	for i, said := range []Statement{silent, named(5), named(5.1), named(5), named(9), silent, silent} {
		server.Heard(said, start.Add(time.Duration(2*i)*time.Second), start.Add(time.Duration(2*i+1)*time.Second))
	}
	if len(told) != 3 || told[0].Now != "limited to 5/s" || told[2].Now != "not limited" || hurried != 3 {
		t.Errorf("%+v, hurried %d times", told, hurried)
	}
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	tracker, start := alone(), time.Now()
	tracker.Server("s").Heard(named(5), start, start)
	everybody, nobody := func(string) bool { return true }, func(string) bool { return false }
	tracker.Keep(everybody, start)
	tracker.Keep(nobody, start.Add(time.Minute))
	if tracker.Limited() != 1 {
		t.Error("forgotten while its entry may come back")
	}
	tracker.Keep(nobody, start.Add(3*time.Minute))
	if tracker.Limited() != 0 {
		t.Error("still known")
	}
}

func TestAServerThatHasSaidNothingTakesAll(t *testing.T) {
	server := alone().Server("s")
	for range 1000 {
		if server.Send(PlainWork, time.Now()) != Clear {
			t.Fatal("held back")
		}
	}
	if (*Server)(nil).Look(ReserveWork, time.Now()) != Clear {
		t.Error("held back from a server of which nothing is known")
	}
}

// What has to be sent all the same counts, so that others wait for it.
func TestOwedWorkIsSentAndCounts(t *testing.T) {
	server, now := alone().Server("s"), time.Now()
	server.Heard(named(1), now, now)
	now = now.Add(2 * time.Second)
	server.Heard(named(1), now, now)
	for range 3 {
		if server.Send(FreeWork, now) != Clear {
			t.Fatal("held back")
		}
	}
	if server.Send(PlainWork, now) != OverLimit {
		t.Error("three calls did not count")
	}
	now = now.Add(1900 * time.Millisecond)
	if server.Send(PlainWork, now) != OverLimit || server.Send(PlainWork, now.Add(200*time.Millisecond)) != Clear {
		t.Error("what was too much is not waited for")
	}
}

// Whoever knows the same instances chooses the same, and few.
func TestPartsOfALimitAddUpToIt(t *testing.T) {
	for _, size := range []int{1, 8, 60, 300} {
		for _, rate := range []float64{0, 0.3, 1, 5.1, 50} {
			for server := range ID(20) {
				checkParts(t, size, rate, server)
			}
		}
	}
}

func checkParts(t *testing.T, size int, rate float64, server ID) {
	t.Helper()
	var taking []string
	for i := range size {
		taking = append(taking, fmt.Sprint("i", i))
	}
	sum, senders := 0.0, 0
	for _, self := range taking {
		instances := &Instances{Self: self, Taking: taking}
		part := instances.part(server, rate, instances.sendersFor(rate))
		sum += part
		if part > 0 {
			senders++
		}
	}
	if sum > rate+1e-9 || sum < rate-1e-9 {
		t.Errorf("%d instances: parts of %v add up to %v", size, rate, sum)
	}
	if most := tolerated(rate); float64(senders*burst)+rate*spell.Seconds() > most {
		t.Errorf("%d of %d instances may send %v a second and a burst each, tolerated %v in %v", senders, size, rate, most, spell)
	}
}

// spell is the spell over which a limit is judged, and tolerated what a server may get in it
// (source: the users' rules).
const spell = 4 * time.Second

func tolerated(rate float64) float64 { return 1.5*rate*spell.Seconds() + 5 }

func TestOneThatTakesNoRequestsHasNoPart(t *testing.T) {
	if part := (&Instances{Self: "i", Taking: []string{"j"}}).part(1, 5, 6); part != 0 {
		t.Errorf("a part of %v", part)
	}
	if part := (&Instances{Self: "i", Taking: []string{"i"}, Silent: 3}).part(1, 8, 9); part != 2 {
		t.Errorf("one of four that is alone takes %v of 8", part)
	}
}
