package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Ways to keep a limit over all instances, played beside each other: requests come to
// instances at random, each instance sends them where it may, and those that find no server
// come back once.

// way is how one instance decides what it may send one server.
type way interface {
	// mayTake looks, and take counts.
	mayTake(now time.Time) bool
	take(now time.Time)
	// heard takes in that another instance has sent a request.
	heard(now time.Time)
}

// parts is this package's way: a part for each of a few instances.
type parts struct{ server *Server }

func (p parts) mayTake(now time.Time) bool { return p.server.Look(PlainWork, now) == Clear }
func (p parts) take(now time.Time) {
	p.server.Send(PlainWork, now)
	p.server.Heard(named(p.server.limit.rate), now, now)
}
func (p parts) heard(now time.Time) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.limit.at = now
}

// bucket is an account of tokens.
type bucket struct {
	rate, most, level float64
	at                time.Time
}

func (b *bucket) settle(now time.Time) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.most)
	b.at = now
}

func (b *bucket) mayTake(now time.Time) bool { b.settle(now); return b.level >= 1 }
func (b *bucket) take(now time.Time)         { b.settle(now); b.level-- }

// equalParts gives each instance the same part; heard says nothing to it.
type equalParts struct{ bucket }

func (*equalParts) heard(time.Time) {}

// shared is an account of the whole limit at each instance, from which it takes what it
// sends, and what it hears that others have sent.
type shared struct{ bucket }

func (s *shared) heard(now time.Time) { s.take(now) }

// played is one play: what limited servers got, and callers.
type played struct {
	// worst is the most that a limited server got in four seconds, as a part of what is
	// tolerated, and used what all got, as a part of what they take.
	worst, used float64
	// refused is the part of the requests that found no server.
	refused float64
}

// load is what is played.
type load struct {
	instances, servers, limited int
	limit, perSecond            float64
	lag                         time.Duration
}

const (
	playedFor = 40 * time.Second
	// warming is left out: accounts begin with what nobody had used.
	warming = 4 * time.Second
)

func (l load) play(make func(instance, server int, random func() float64, start time.Time) way) played {
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Now()
	ways := make2d(l.instances, l.limited, func(i, s int) way { return make(i, s, random.Float64, start) })
	type told struct {
		at           time.Time
		from, server int
	}
	var (
		lags     []told
		returns  []time.Time
		sends    = make1d[[]time.Time](l.limited)
		requests int
		refused  int
	)
	arrive := func(now time.Time) bool {
		at := random.IntN(l.instances)
		first := random.IntN(l.servers)
		for i := range l.servers {
			server := (first + i) % l.servers
			if server >= l.limited {
				return true
			}
			if ways[at][server].mayTake(now) {
				ways[at][server].take(now)
				sends[server] = append(sends[server], now)
				lags = append(lags, told{now.Add(l.lag), at, server})
				return true
			}
		}
		return false
	}
	const step = time.Millisecond
	for now := start; now.Before(start.Add(playedFor)); now = now.Add(step) {
		for len(lags) > 0 && !lags[0].at.After(now) {
			for i := range ways {
				if i != lags[0].from {
					ways[i][lags[0].server].heard(now)
				}
			}
			lags = lags[1:]
		}
		for len(returns) > 0 && !returns[0].After(now) {
			returns = returns[1:]
			if !arrive(now) {
				refused++
			}
		}
		expected := l.perSecond * step.Seconds()
		for count := poisson(expected, random); count > 0; count-- {
			requests++
			if !arrive(now) {
				returns = append(returns, now.Add(700*time.Millisecond))
			}
		}
	}
	result := played{refused: float64(refused) / float64(max(requests, 1))}
	for _, at := range sends {
		result.worst = max(result.worst, float64(mostWithin(at, start.Add(warming)))/math.Floor(tolerated(l.limit)))
		result.used += float64(len(at)) / (l.limit * playedFor.Seconds()) / float64(l.limited)
	}
	return result
}

func make1d[T any](n int) []T { return make([]T, n) }

func make2d(n, m int, one func(i, j int) way) [][]way {
	all := make([][]way, n)
	for i := range all {
		all[i] = make([]way, m)
		for j := range all[i] {
			all[i][j] = one(i, j)
		}
	}
	return all
}

// poisson draws how many of many rare things happen (Knuth, TAOCP 3.4.1).
func poisson(expected float64, random *rand.Rand) int {
	count, left := 0, math.Exp(-expected)
	for product := random.Float64(); product > left; count++ {
		product *= random.Float64()
	}
	return count
}

// mostWithin is the most in any spell that ends after a moment.
func mostWithin(at []time.Time, after time.Time) int {
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) > spell {
			first++
		}
		if at[last].After(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// waysOf returns the ways to be compared for a load.
func waysOf(l load) map[string]func(instance, server int, random func() float64, start time.Time) way {
	var names []string
	for i := range l.instances {
		names = append(names, fmt.Sprint("i", i))
	}
	return map[string]func(instance, server int, random func() float64, start time.Time) way{
		"few instances": func(instance, server int, random func() float64, start time.Time) way {
			tracker := New(random)
			tracker.SetInstances(Instances{Self: names[instance], Taking: names})
			known := tracker.Server(fmt.Sprint("s", server))
			known.Heard(named(l.limit), start, start)
			return parts{known}
		},
		"a part for each": func(_, _ int, random func() float64, start time.Time) way {
			rate := l.limit / float64(l.instances)
			return &equalParts{bucket{rate: rate, most: 1, level: random(), at: start}}
		},
		"shared account": func(_, _ int, _ func() float64, start time.Time) way {
			return &shared{bucket{rate: l.limit, most: 2, at: start}}
		},
	}
}

// TestWaysToKeepALimit prints what each way does, and holds this package's to the limit.
func TestWaysToKeepALimit(t *testing.T) {
	for _, size := range []struct {
		instances int
		lag       time.Duration
	}{{8, 45 * time.Millisecond}, {60, 120 * time.Millisecond}, {300, 200 * time.Millisecond}} {
		for _, limit := range []float64{0.3, 5.1, 50} {
			for _, limited := range []int{1, 3, 6} {
				for _, perInstance := range []float64{0.2, 8} {
					l := load{size.instances, 6, limited, limit, perInstance * float64(size.instances), size.lag}
					compareWays(t, l)
				}
			}
		}
	}
}

func compareWays(t *testing.T, l load) {
	t.Helper()
	for name, way := range waysOf(l) {
		got := l.play(way)
		t.Logf("%3d instances, %4.1f/s at %d of %d servers, %6.1f requests/s: %-15s worst %.2f of what is tolerated, used %.2f, refused %.3f",
			l.instances, l.limit, l.limited, l.servers, l.perSecond, name, got.worst, got.used, got.refused)
		if name != "few instances" {
			continue
		}
		if got.worst > 1 {
			t.Errorf("%+v: %.2f of what is tolerated", l, got.worst)
		}
		// All are asked for far more than they take, and each instance has more than its part.
		if l.limited == l.servers && l.perSecond > 4*l.limit*float64(l.servers) && l.perSecond > 4*float64(l.instances) && got.used < 0.8 {
			t.Errorf("%+v: servers get %.2f of what they take", l, got.used)
		}
	}
}
