package forward

import (
	"errors"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/table"
)

// A request that waits or is retried may outlast the time in which a draining server may still
// be used. Each send must therefore use the list of backend servers as it is at that moment,
// not as it was when the request arrived. Requests had reached servers that had left.

// drain marks a server as draining in the view of the servers.
func (b *bench) drain(id string) {
	next := *b.View.Servers()
	entry := *next.ByRun[id]
	entry.Draining = true
	next.ByRun = maps.Clone(next.ByRun)
	next.ByRun[id] = &entry
	next.Plain, next.Prefill, next.Decode = withDraining(next.Plain, id), withDraining(next.Prefill, id), withDraining(next.Decode, id)
	next.Position++
	b.setServers(&next)
}

// withDraining returns a copy of the pools with one server marked as draining.
func withDraining(pools map[string][]*table.BackendView, id string) map[string][]*table.BackendView {
	pools = maps.Clone(pools)
	for service, pool := range pools {
		next := append([]*table.BackendView(nil), pool...)
		for i, backend := range next {
			if backend.Name == id {
				changed := *backend
				changed.Drain = true
				next[i] = &changed
			}
		}
		pools[service] = next
	}
	return pools
}

// other returns the server of a pair that is not the given one.
func other(one, first, second string) string {
	if one == first {
		return second
	}
	return first
}

func TestRetriedCallAvoidsDrainingServer(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			time.Sleep(time.Second)
			b.drain(other(server, "s1", "s2"))
			return nil, errors.New("connection lost")
		}
		b.serve(b.plain("1"))
		if calls := b.callCount("call"); calls != 1 {
			t.Errorf("%d calls, want 1: the other server was draining", calls)
		}
	})
}

func TestRetriedPrefillAvoidsDrainingEngine(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefill = func(server string) error {
			b.drain(other(server, "p1", "p2"))
			return errors.New("connection lost")
		}
		b.serve(b.generation("1", testPromptTokens))
		if prefills := b.callCount("prefill"); prefills != 1 {
			t.Errorf("%d prefills, want 1: the other engine was draining", prefills)
		}
	})
}

// The prefill engine is selected before memory is reserved, and the reservation may take
// a while.
func TestPrefillAvoidsEngineThatDrainsDuringReservation(t *testing.T) {
	withBench(t, func(b *bench) {
		before := b.View.Servers()
		b.engines.reserve = func(string) error {
			b.drain("p1")
			return nil
		}
		for i := range 8 {
			b.setServers(before)
			b.serve(b.generation(strconv.Itoa(i), testPromptTokens))
		}
		if prefills := b.callCount("prefill p1"); prefills > 0 {
			t.Errorf("%d of 8 prefills at a draining engine", prefills)
		}
	})
}
