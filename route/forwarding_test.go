package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/table"
)

// No window sees more retries than the whole budget allows, however first attempts
// and retries are spread over the instances.
func TestSharedBudgetsStayWithinWholeBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		slack := rapid.Float64Range(0, 200).Draw(t, "slack")
		instances := rapid.IntRange(1, 10).Draw(t, "instances")
		now := time.Unix(0, 0)
		budgets := make([]*SharedBudget, instances)
		for i := range budgets {
			budgets[i] = NewSharedBudget(ratio, window, slack/float64(instances), now)
		}
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			budget.Earn(now)
			firsts = append(firsts, now)
			for range rapid.IntRange(0, 5).Draw(t, "tries") {
				if budget.Spend(now) {
					retries = append(retries, now)
				}
			}
			inWindow := count(retries, now.Add(-window), now)
			allowed := ratio*float64(count(firsts, now.Add(-window), now)) + slack
			// A share below two retries is rounded up to one retry that can be saved
			// up.
			allowed += float64(instances) * max(0, 1-slack/float64(instances)/2)
			if float64(inWindow) > allowed+1e-6 {
				t.Fatalf("%d retries in a window, %.1f are allowed", inWindow, allowed)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestSmallerAllowanceReducesCredit(t *testing.T) {
	now := time.Unix(0, 0)
	budget := NewSharedBudget(0.2, time.Second, 40, now)
	budget.SetAllowance(4, now)
	if left := budget.Left(now); left != 2 {
		t.Fatalf("%v retries left", left)
	}
	budget.SetAllowance(40, now)
	if left := budget.Left(now); left != 2 {
		t.Fatalf("a larger allowance was granted at once: %v retries left", left)
	}
}

func TestSilenceRequiresWaitingRequests(t *testing.T) {
	now := time.Now()
	server := &Server{Name: "a"}
	if server.SilentFor(now.Add(time.Hour)) != 0 {
		t.Fatal("silent although no request waits")
	}
	done := server.AwaitAnswer(now)
	second := server.AwaitAnswer(now.Add(time.Second))
	if got := server.SilentFor(now.Add(2 * time.Second)); got != 2*time.Second {
		t.Fatalf("silent for %v", got)
	}
	server.RecordContact(now.Add(2 * time.Second))
	done()
	if got := server.SilentFor(now.Add(3 * time.Second)); got != time.Second {
		t.Fatalf("silent for %v", got)
	}
	second()
	if server.SilentFor(now.Add(time.Hour)) != 0 {
		t.Fatal("silent although no request waits")
	}
}

func candidatesOf(servers ...*Server) (*Fleet, []*table.BackendView) {
	backends := make(map[string]*table.BackendView)
	var pool []*table.BackendView
	for _, server := range servers {
		backend := &table.BackendView{Name: server.Name, MemoryTokens: 1000}
		backends[server.Name] = backend
		pool = append(pool, backend)
	}
	fleet := NewFleet()
	fleet.Adopt(&table.View{Backends: backends})
	return fleet, pool
}

func TestForwardingAvoidsUnfitServers(t *testing.T) {
	now := time.Now()
	for name, makeUnfit := range map[string]func(*Server){
		"silent":   func(s *Server) { s.AwaitAnswer(now.Add(-time.Second)) },
		"refusing": func(s *Server) { s.Refused(now) },
		"changing": func(s *Server) { s.SetRoleChangeUntil(now.Add(time.Second)) },
		"broken": func(s *Server) {
			for range breakerThreshold {
				s.Breaker.Failure(now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, pool := candidatesOf(&Server{Name: "fit"}, &Server{Name: "unfit"})
			makeUnfit(fleet.Server("unfit"))
			for i := range 20 {
				query := &Query{RequestID: fmt.Sprint(i), Now: now}
				for _, profile := range []*Profile{ForwardPlain(), ForwardPrefill(), ForwardDecode()} {
					decision := profile.Decide(query, fleet, pool)
					if decision.Selected == nil || decision.Selected.Name != "fit" {
						t.Fatalf("selected %+v", decision.Selected)
					}
				}
			}
		})
	}
}

func TestRefusalsInARowLengthenBackoff(t *testing.T) {
	now := time.Now()
	server := &Server{Name: "a"}
	keeps := func(after time.Duration) bool {
		return RefusingFilter{}.Keep(&Query{Now: now.Add(after)}, Candidate{Server: server})
	}
	server.Refused(now)
	if keeps(0) || !keeps(initialRefusalBackoff) {
		t.Fatal("wrong backoff after one refusal")
	}
	for range 20 {
		server.Refused(now)
	}
	if keeps(maxBackoff-time.Millisecond) || !keeps(maxBackoff) {
		t.Fatal("wrong backoff after many refusals")
	}
	server.Accepted()
	server.Refused(now)
	if !keeps(initialRefusalBackoff) {
		t.Fatal("accepted work did not reset the backoff")
	}
}

func TestMemoryCommittedBySiblingsCounts(t *testing.T) {
	fleet, pool := candidatesOf(&Server{Name: "a"}, &Server{Name: "b"})
	fleet.Server("a").SetOthers(Commitment{Memory: 800})
	fleet.Server("b").AddMemory(300)
	query := &Query{Now: time.Now()}
	if got := ForwardDecode().Decide(query, fleet, pool).Pick; got != "b" {
		t.Fatalf("selected %s", got)
	}
	fleet.Server("b").AddMemory(-300)
	if got := fleet.Server("b").Own(); got != (Commitment{}) {
		t.Fatalf("commitment left after release: %+v", got)
	}
}

func TestMisdirectedServerIsAvoidedDespiteAcceptedWork(t *testing.T) {
	now := time.Now()
	server := &Server{Name: "a"}
	keeps := func(after time.Duration) bool {
		return RefusingFilter{}.Keep(&Query{Now: now.Add(after)}, Candidate{Server: server})
	}
	server.Misdirected(now)
	server.Accepted()
	if keeps(misdirectedBackoff-time.Millisecond) || !keeps(misdirectedBackoff) {
		t.Fatal("wrong backoff after a misdirected request")
	}
	server.SetRoleChangeUntil(now.Add(2 * misdirectedBackoff))
	server.Misdirected(now)
	if keeps(misdirectedBackoff) {
		t.Fatal("a longer change of role was cut short")
	}
}
