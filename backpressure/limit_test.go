package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitOf is the report of an answer with a limit, and noLimit of one without.
func limitOf(rate float64) StatusReport { return StatusReport{Kind: Plain, Limited: true, Limit: rate} }

var noLimit = StatusReport{Kind: Plain}

// singleInstance returns the tracker of the only instance.
func singleInstance() *Tracker {
	tracker := New(rand.New(rand.NewPCG(1, 2)).Float64)
	tracker.SetInstances(Instances{Self: "i", Active: []string{"i"}})
	return tracker
}

func TestLimitLastsUntilAnswerWithoutLimit(t *testing.T) {
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	for name, test := range map[string]struct {
		report       StatusReport
		sent         int
		stillLimited bool
	}{
		"a later answer":                                      {noLimit, 20, false},
		"an answer to a call sent before":                     {noLimit, 5, true},
		"a refusal":                                           {StatusReport{Kind: Plain, Rejected: true}, 20, true},
		"an answer with an unreadable limit":                  {StatusReport{Kind: Plain, Unreadable: true}, 20, true},
		"an answer to another kind of call":                   {StatusReport{Kind: Reserve}, 20, true},
		"an answer with the same limit":                       {limitOf(5), 20, true},
		"an answer with another limit, to a call sent before": {limitOf(7), 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := singleInstance().Server("s")
			server.Observe(limitOf(5), at(0), at(10))
			server.Observe(test.report, at(test.sent), at(30))
			if _, limited := server.Limit(); limited != test.stillLimited {
				t.Errorf("limited: %t", limited)
			}
		})
	}
}

// Answers of a rare kind may be the last to report a limit. An answer of any kind that has
// reported it ends it.
func TestLimitEndsWithAnswerOfAnyReportingKind(t *testing.T) {
	server, start := singleInstance().Server("s"), time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	server.Observe(limitOf(5), at(0), at(10))
	server.Observe(StatusReport{Kind: Report, Limited: true, Limit: 5}, at(20), at(30))
	server.Observe(StatusReport{Kind: Release}, at(40), at(50))
	if _, limited := server.Limit(); !limited {
		t.Fatal("limit ended by an answer of a kind that has never reported it")
	}
	server.Observe(noLimit, at(60), at(70))
	if _, limited := server.Limit(); limited {
		t.Error("limit did not end")
	}
}

func TestChangesAreNotifiedOnce(t *testing.T) {
	tracker, start := singleInstance(), time.Now()
	var changes []Change
	urgent := 0
	tracker.OnChange(func(change Change) { changes = append(changes, change) }, func() { urgent++ })
	server := tracker.Server("s")
	for i, report := range []StatusReport{noLimit, limitOf(5), limitOf(5.1), limitOf(5), limitOf(9), noLimit, noLimit} {
		server.Observe(report, start.Add(time.Duration(2*i)*time.Second), start.Add(time.Duration(2*i+1)*time.Second))
	}
	if len(changes) != 3 || changes[0].Now != "limited to 5/s" || changes[2].Now != "not limited" || urgent != 3 {
		t.Errorf("changes: %+v, urgent notifications: %d", changes, urgent)
	}
}

func TestUnlistedServersAreForgotten(t *testing.T) {
	tracker, start := singleInstance(), time.Now()
	tracker.Server("s").Observe(limitOf(5), start, start)
	all, none := func(string) bool { return true }, func(string) bool { return false }
	tracker.Prune(all, start)
	tracker.Prune(none, start.Add(time.Minute))
	if tracker.Limited() != 1 {
		t.Error("server forgotten while its entry may come back")
	}
	tracker.Prune(none, start.Add(3*time.Minute))
	if tracker.Limited() != 0 {
		t.Error("server is still known")
	}
}

func TestServerWithoutReportIsUnrestricted(t *testing.T) {
	server := singleInstance().Server("s")
	for range 1000 {
		if server.Send(PlainWork, time.Now()) != Clear {
			t.Fatal("request was withheld")
		}
	}
	if (*Server)(nil).Check(ReserveWork, time.Now()) != Clear {
		t.Error("request was withheld from a server without state")
	}
}

// Follow-up requests are sent immediately, but they count against the limit, so that other
// requests wait.
func TestFollowUpRequestsAreSentAndCounted(t *testing.T) {
	server, now := singleInstance().Server("s"), time.Now()
	server.Observe(limitOf(1), now, now)
	now = now.Add(2 * time.Second)
	server.Observe(limitOf(1), now, now)
	for range 3 {
		if server.Send(FreeWork, now) != Clear {
			t.Fatal("request was withheld")
		}
	}
	if server.Send(PlainWork, now) != OverLimit {
		t.Error("three calls were not counted")
	}
	now = now.Add(1900 * time.Millisecond)
	if server.Send(PlainWork, now) != OverLimit || server.Send(PlainWork, now.Add(200*time.Millisecond)) != Clear {
		t.Error("the debt is not waited for")
	}
}

// All instances that know the same instances select the same few senders.
func TestSharesAddUpToLimit(t *testing.T) {
	for _, size := range []int{1, 8, 60, 300} {
		for _, rate := range []float64{0, 0.3, 1, 5.1, 50} {
			for server := range ID(20) {
				checkShares(t, size, rate, server)
			}
		}
	}
}

func checkShares(t *testing.T, size int, rate float64, server ID) {
	t.Helper()
	var taking []string
	for i := range size {
		taking = append(taking, fmt.Sprint("i", i))
	}
	sum, senders := 0.0, 0
	for _, self := range taking {
		instances := &Instances{Self: self, Active: taking}
		share := instances.share(server, rate, instances.sendersFor(rate))
		sum += share
		if share > 0 {
			senders++
		}
	}
	if sum > rate+1e-9 || sum < rate-1e-9 {
		t.Errorf("%d instances: shares of %v add up to %v", size, rate, sum)
	}
	if most := tolerance(rate); float64(senders*burst)+rate*limitWindow.Seconds() > most {
		t.Errorf("%d of %d instances may send %v a second and a burst each, tolerance: %v in %v", senders, size, rate, most, limitWindow)
	}
}

// limitWindow is the time over which a limit is judged. tolerance is the number of requests
// that a server may get in it (source: the service requirements).
const limitWindow = 4 * time.Second

func tolerance(rate float64) float64 { return 1.5*rate*limitWindow.Seconds() + 5 }

func TestInstanceNotAcceptingRequestsHasNoShare(t *testing.T) {
	if share := (&Instances{Self: "i", Active: []string{"j"}}).share(1, 5, 6); share != 0 {
		t.Errorf("share = %v, want 0", share)
	}
	if share := (&Instances{Self: "i", Active: []string{"i"}, Silent: 3}).share(1, 8, 9); share != 2 {
		t.Errorf("share of one instance of four with three silent = %v of 8", share)
	}
}
