package forward

import (
	"errors"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/table"
)

// A request that waits, or is tried again, may last longer than a server that
// leaves may be used for: whatever is sent next goes by the list as it is then, not
// as it was when the request came. Found by reading the code for what else
// decides by old updates, after requests had reached servers that had left.

// leave has a server say that it leaves.
func (b *bench) leave(id string) {
	next := *b.View.Servers()
	entry := *next.ByRun[id]
	entry.Draining = true
	next.ByRun = maps.Clone(next.ByRun)
	next.ByRun[id] = &entry
	next.Plain, next.Prefill, next.Decode = leaving(next.Plain, id), leaving(next.Prefill, id), leaving(next.Decode, id)
	next.Position++
	b.believe(&next)
}

func leaving(pools map[string][]*table.BackendView, id string) map[string][]*table.BackendView {
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

// other is the server of a pair that is not the one.
func other(one, first, second string) string {
	if one == first {
		return second
	}
	return first
}

func TestACallThatIsTriedAgainGoesToNoServerThatBeganToLeave(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			time.Sleep(time.Second)
			b.leave(other(server, "s1", "s2"))
			return nil, errors.New("broke off")
		}
		b.serve(b.plain("1"))
		if calls := b.did("call"); calls != 1 {
			t.Errorf("%d calls, one was to a server that had begun to leave", calls)
		}
	})
}

func TestAPromptThatIsReadAgainGoesToNoEngineThatBeganToLeave(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.prefill = func(server string) error {
			b.leave(other(server, "p1", "p2"))
			return errors.New("broke off")
		}
		b.serve(b.generation("1", testPrompt))
		if prefills := b.did("prefill"); prefills != 1 {
			t.Errorf("%d prefills, one was at an engine that had begun to leave", prefills)
		}
	})
}

// The prefill engine is chosen before memory is reserved, which may take a while.
func TestAPromptIsReadAtNoEngineThatBeganToLeaveMeanwhile(t *testing.T) {
	play(t, func(b *bench) {
		before := b.View.Servers()
		b.engines.reserve = func(string) error {
			b.leave("p1")
			return nil
		}
		for i := range 8 {
			b.believe(before)
			b.serve(b.generation(strconv.Itoa(i), testPrompt))
		}
		if prefills := b.did("prefill p1"); prefills > 0 {
			t.Errorf("%d of 8 prefills at an engine that had begun to leave", prefills)
		}
	})
}
