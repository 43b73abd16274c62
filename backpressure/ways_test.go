package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The tests below compare strategies to keep a rate limit over all instances in a simulation.
// Requests arrive at random instances, each instance sends them to the servers it may, and
// requests that find no server are retried once.

// strategy decides what one instance may send to one server.
type strategy interface {
	// allows reports whether a request may be sent, and send counts it.
	allows(now time.Time) bool
	send(now time.Time)
	// received notes that another instance has sent a request.
	received(now time.Time)
}

// fewShares is the strategy of this package: a share for each of a few instances.
type fewShares struct{ server *Server }

func (p fewShares) allows(now time.Time) bool { return p.server.Check(PlainWork, now) == Clear }
func (p fewShares) send(now time.Time) {
	p.server.Send(PlainWork, now)
	p.server.Observe(limitOf(p.server.limit.rate), now, now)
}
func (p fewShares) received(now time.Time) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.limit.at = now
}

type tokenBucket struct {
	rate, capacity, balance float64
	at                      time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	b.balance = min(b.balance+b.rate*now.Sub(b.at).Seconds(), b.capacity)
	b.at = now
}

func (b *tokenBucket) allows(now time.Time) bool { b.refill(now); return b.balance >= 1 }
func (b *tokenBucket) send(now time.Time)        { b.refill(now); b.balance-- }

// equalShares gives each instance the same share, so that received has no effect.
type equalShares struct{ tokenBucket }

func (*equalShares) received(time.Time) {}

// sharedBucket has a bucket with the full limit at each instance. The instance subtracts what
// it sends and what others report that they have sent.
type sharedBucket struct{ tokenBucket }

func (s *sharedBucket) received(now time.Time) { s.send(now) }

// result is the result of one simulation.
type result struct {
	// worst is the largest number of requests that a limited server got in four seconds, as a
	// fraction of the tolerance. used is what all limited servers got, as a fraction of their
	// limits.
	worst, used float64
	// refused is the fraction of requests that found no server.
	refused float64
}

// load is the load of one simulation.
type load struct {
	instances, servers, limited int
	limit, perSecond            float64
	delay                       time.Duration
}

const (
	simulatedTime = 40 * time.Second
	// warmUp is left out of the results: the buckets start with unused requests.
	warmUp = 4 * time.Second
)

func (l load) simulate(make func(instance, server int, random func() float64, start time.Time) strategy) result {
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Now()
	strategies := make2d(l.instances, l.limited, func(i, s int) strategy { return make(i, s, random.Float64, start) })
	type message struct {
		at           time.Time
		from, server int
	}
	var (
		messages []message
		retries  []time.Time
		sends    = make1d[[]time.Time](l.limited)
		requests int
		refused  int
	)
	route := func(now time.Time) bool {
		at := random.IntN(l.instances)
		first := random.IntN(l.servers)
		for i := range l.servers {
			server := (first + i) % l.servers
			if server >= l.limited {
				return true
			}
			if strategies[at][server].allows(now) {
				strategies[at][server].send(now)
				sends[server] = append(sends[server], now)
				messages = append(messages, message{now.Add(l.delay), at, server})
				return true
			}
		}
		return false
	}
	const step = time.Millisecond
	for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(step) {
		for len(messages) > 0 && !messages[0].at.After(now) {
			for i := range strategies {
				if i != messages[0].from {
					strategies[i][messages[0].server].received(now)
				}
			}
			messages = messages[1:]
		}
		for len(retries) > 0 && !retries[0].After(now) {
			retries = retries[1:]
			if !route(now) {
				refused++
			}
		}
		expected := l.perSecond * step.Seconds()
		for count := poisson(expected, random); count > 0; count-- {
			requests++
			if !route(now) {
				retries = append(retries, now.Add(700*time.Millisecond))
			}
		}
	}
	outcome := result{refused: float64(refused) / float64(max(requests, 1))}
	for _, at := range sends {
		outcome.worst = max(outcome.worst, float64(maxInWindow(at, start.Add(warmUp)))/math.Floor(tolerance(l.limit)))
		outcome.used += float64(len(at)) / (l.limit * simulatedTime.Seconds()) / float64(l.limited)
	}
	return outcome
}

func make1d[T any](n int) []T { return make([]T, n) }

func make2d(n, m int, one func(i, j int) strategy) [][]strategy {
	all := make([][]strategy, n)
	for i := range all {
		all[i] = make([]strategy, m)
		for j := range all[i] {
			all[i][j] = one(i, j)
		}
	}
	return all
}

// poisson draws a number from a Poisson distribution (Knuth, TAOCP 3.4.1).
func poisson(expected float64, random *rand.Rand) int {
	count, left := 0, math.Exp(-expected)
	for product := random.Float64(); product > left; count++ {
		product *= random.Float64()
	}
	return count
}

// maxInWindow returns the largest number of requests in any window that ends after a moment.
func maxInWindow(at []time.Time, after time.Time) int {
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) > limitWindow {
			first++
		}
		if at[last].After(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// strategiesFor returns the strategies to compare for a load.
func strategiesFor(l load) map[string]func(instance, server int, random func() float64, start time.Time) strategy {
	var names []string
	for i := range l.instances {
		names = append(names, fmt.Sprint("i", i))
	}
	return map[string]func(instance, server int, random func() float64, start time.Time) strategy{
		"few instances": func(instance, server int, random func() float64, start time.Time) strategy {
			tracker := New(random)
			tracker.SetInstances(Instances{Self: names[instance], Active: names})
			known := tracker.Server(fmt.Sprint("s", server))
			known.Observe(limitOf(l.limit), start, start)
			return fewShares{known}
		},
		"equal shares": func(_, _ int, random func() float64, start time.Time) strategy {
			rate := l.limit / float64(l.instances)
			return &equalShares{tokenBucket{rate: rate, capacity: 1, balance: random(), at: start}}
		},
		"shared bucket": func(_, _ int, _ func() float64, start time.Time) strategy {
			return &sharedBucket{tokenBucket{rate: l.limit, capacity: 2, at: start}}
		},
	}
}

// TestRateLimitStrategies prints the result of each strategy, and checks that this package's
// strategy keeps the limit.
func TestRateLimitStrategies(t *testing.T) {
	for _, size := range []struct {
		instances int
		delay     time.Duration
	}{{8, 45 * time.Millisecond}, {60, 120 * time.Millisecond}, {300, 200 * time.Millisecond}} {
		for _, limit := range []float64{0.3, 5.1, 50} {
			for _, limited := range []int{1, 3, 6} {
				for _, perInstance := range []float64{0.2, 8} {
					l := load{size.instances, 6, limited, limit, perInstance * float64(size.instances), size.delay}
					compareStrategies(t, l)
				}
			}
		}
	}
}

func compareStrategies(t *testing.T, l load) {
	t.Helper()
	for name, strategy := range strategiesFor(l) {
		got := l.simulate(strategy)
		t.Logf("%3d instances, %4.1f/s at %d of %d servers, %6.1f requests/s: %-15s worst %.2f of the tolerance, used %.2f, refused %.3f",
			l.instances, l.limit, l.limited, l.servers, l.perSecond, name, got.worst, got.used, got.refused)
		if name != "few instances" {
			continue
		}
		if got.worst > 1 {
			t.Errorf("%+v: %.2f of the tolerance", l, got.worst)
		}
		// The load is far above the limits of all servers, and each instance has more requests
		// than its share.
		if l.limited == l.servers && l.perSecond > 4*l.limit*float64(l.servers) && l.perSecond > 4*float64(l.instances) && got.used < 0.8 {
			t.Errorf("%+v: servers get %.2f of their limits", l, got.used)
		}
	}
}
