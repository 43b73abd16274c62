package forward

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

var errConnectionRefused = &NotRunError{Why: reason.ConnectFailed, Detail: "connection refused"}

// addEngines adds decode engines, so that a few that cannot be reached are a small part of all.
func (b *bench) addEngines(count int) {
	next := *b.View.Servers()
	next.ByRun = map[string]*registry.Entry{}
	for id, entry := range b.View.Servers().ByRun {
		next.ByRun[id] = entry
	}
	decode := slices.Clone(next.Decode["llm"])
	for i := range count {
		id := fmt.Sprintf("d%d", 10+i)
		decode = append(decode, &table.BackendView{Name: id, Pool: "llm", Zone: "z", MemoryTokens: testMemoryTokens})
		next.ByRun[id] = &registry.Entry{ID: id, Service: "llm", Zone: "z", Address: id}
	}
	next.Decode = map[string][]*table.BackendView{"llm": decode}
	b.setServers(&next)
	backends := make(map[string]*table.BackendView)
	for _, pool := range []map[string][]*table.BackendView{next.Plain, next.Prefill, next.Decode} {
		for _, servers := range pool {
			for _, server := range servers {
				backends[server.Name] = server
			}
		}
	}
	b.Fleet.Adopt(&table.View{Backends: backends})
}

// servingSibling is one sibling that serves every request.
func servingSibling() *fakeSiblings {
	return &fakeSiblings{names: []string{"a"}, serve: func(string) (*Reply, error) { return &Reply{Status: 200}, nil }}
}

func TestRequestIsHandedOverWhoseOwnCallsGotNoAnswer(t *testing.T) {
	for name, refuse := range map[string]func(e *engines){
		"reservation":                  func(e *engines) { e.reserve = func(string) error { return errConnectionRefused } },
		"no answer to the reservation": func(e *engines) { e.reserve = func(string) error { return errConnectionReset } },
		"no answer to the prefill":     func(e *engines) { e.prefill = func(string) error { return errConnectionReset } },
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.addEngines(40)
				refuse(b.engines)
				siblings := servingSibling()
				b.Siblings = siblings
				if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || len(siblings.asked) != 1 {
					b.t.Errorf("status %d, %q, asked %v", reply.Status, reply.Reason, siblings.asked)
				}
				b.checkNothingHeld()
			})
		})
	}
}

func TestRequestThatFindsNoMemoryIsNotHandedOver(t *testing.T) {
	withBench(t, func(b *bench) {
		b.addEngines(40)
		b.engines.reserve = func(string) error { return &NotRunError{Why: reason.BackendRefused, Sent: true} }
		siblings := servingSibling()
		b.Siblings = siblings
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Reason != reason.NoDecodeMemory || len(siblings.asked) > 0 {
			b.t.Errorf("status %d, %q, asked %v", reply.Status, reply.Reason, siblings.asked)
		}
	})
}

func TestInstanceThatReachesNoServerEitherDeclinesWhatIsHandedOver(t *testing.T) {
	withBench(t, func(b *bench) {
		b.addEngines(40)
		b.engines.reserve = func(string) error { return errConnectionRefused }
		r := b.generation("a", testPromptTokens)
		r.HandedOver = "c"
		if reply := b.serve(r); !declined(reply) {
			b.t.Errorf("status %d, %q: the sibling that handed the request over asks no other", reply.Status, reply.Reason)
		}
	})
}

func TestCutOfNewConnectionsOutlastsAnswersOverOpenOnes(t *testing.T) {
	withBench(t, func(b *bench) {
		b.addEngines(40)
		var refused atomic.Bool
		refused.Store(true)
		b.engines.probe = func(string) error {
			if refused.Load() {
				return errConnectionRefused
			}
			return nil
		}
		open := map[string]bool{"p1": true, "p2": true, "d1": true}
		connect := func(server string) error {
			if refused.Load() && !open[server] {
				return errConnectionRefused
			}
			return nil
		}
		b.engines.reserve, b.engines.prefill = connect, connect
		siblings := servingSibling()
		b.Siblings = siblings
		stop, reports := b.watchReach()
		send := func(count int) (handedOver int) {
			siblings.asked = nil
			for i := range count {
				if reply := b.serve(b.generation(fmt.Sprint("r", i), testPromptTokens)); reply.Status != 200 {
					b.t.Errorf("status %d, %q", reply.Status, reply.Reason)
				}
				b.recordAnswer("llm") // an answer over an open connection
				time.Sleep(400 * time.Millisecond)
			}
			return len(siblings.asked)
		}
		send(5)
		if handedOver := send(10); handedOver != 10 || b.CutOffServices() != 1 {
			b.t.Errorf("%d of 10 requests handed over, %d services cut off", handedOver, b.CutOffServices())
		}
		refused.Store(false)
		time.Sleep(time.Second)
		if handedOver := send(5); handedOver > 0 || b.CutOffServices() != 0 || !slices.Equal(reports(), []bool{true, false}) {
			b.t.Errorf("%d handed over after the cut, reports %v", handedOver, reports())
		}
		stop()
	})
}

func TestSiblingsAreAskedUntilOneReachesTheServers(t *testing.T) {
	withBench(t, func(b *bench) {
		siblings := &fakeSiblings{serve: func(to string) (*Reply, error) {
			if to == "s12" {
				return &Reply{Status: 200}, nil
			}
			return &Reply{Status: 503, Reason: reason.CutOff}, nil
		}}
		for i := range 16 {
			siblings.names = append(siblings.names, fmt.Sprint("s", i))
		}
		b.Siblings = siblings
		b.cutOff("web")
		if reply := b.serve(b.plain("x")); reply.Status != 200 {
			b.t.Errorf("status %d, asked %v", reply.Status, siblings.asked)
		}
		siblings.asked = nil
		if reply := b.serve(b.plain("y")); reply.Status != 200 || len(siblings.asked) > 4 {
			b.t.Errorf("status %d, asked %v: those that declined just now were asked first", reply.Status, siblings.asked)
		}
	})
}

func TestOverrunSiblingIsNotTheOnlyOneAsked(t *testing.T) {
	withBench(t, func(b *bench) {
		siblings := &fakeSiblings{names: []string{"a", "b", "c"}, serve: func(to string) (*Reply, error) {
			if to == "b" {
				return &Reply{Status: 200}, nil
			}
			return &Reply{Status: 503, Reason: reason.NoFreeSlot}, nil
		}}
		b.Siblings = siblings
		b.cutOff("web")
		if reply := b.serve(b.plain("x")); reply.Status != 200 {
			b.t.Errorf("status %d, asked %v", reply.Status, siblings.asked)
		}
		siblings.names = []string{"a", "c", "b"}
		if reply := b.serve(b.plain("y")); reply.Status != 503 || reply.Reason != reason.NoFreeSlot || len(siblings.asked) != 4 {
			b.t.Errorf("status %d, %q, asked %v: more than two overrun siblings were asked", reply.Status, reply.Reason, siblings.asked)
		}
	})
}

// A request that waits for an answer that a lost link can't bring has not run before it is sent to an
// engine to run.
func TestWaitingStreamIsHandedOverOnceTheCutIsNoticed(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefillTime = 5 * time.Second
		b.engines.probe = func(string) error { return errConnectionReset }
		siblings := servingSibling()
		b.Siblings = siblings
		stop, _ := b.watchReach()
		defer stop()
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			b.reachOf("llm").Failed("d1", time.Now())
			b.reachOf("llm").Failed("d2", time.Now())
		})
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || len(siblings.asked) != 1 {
			b.t.Errorf("status %d, %q, asked %v", reply.Status, reply.Reason, siblings.asked)
		}
		if took := time.Since(began); took > testTTFT {
			b.t.Errorf("handed over after %v", took)
		}
		b.checkNothingHeld()
	})
}

func TestCutInstanceServesByOpenConnectionsWhatAllSiblingsDecline(t *testing.T) {
	withBench(t, func(b *bench) {
		known := b.reachOf("llm")
		known.ConnectFailed("d1", time.Now())
		known.ConnectFailed("d2", time.Now())
		known.Answered()
		known.ConfirmCutOff()
		b.Siblings = &fakeSiblings{names: []string{"a", "b"}, serve: func(string) (*Reply, error) { return &Reply{Status: 503, Reason: reason.CutOff}, nil }}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			b.t.Errorf("status %d, %q", reply.Status, reply.Reason)
		}
		b.checkNothingHeld()
	})
}

func TestOwnLimitOfConnectionsIsNoLostLink(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.reserve = func(string) error { return &NotRunError{Why: reason.ConnectFailed, AtLimit: true} }
		siblings := servingSibling()
		b.Siblings = siblings
		reply := b.serve(b.generation("a", testPromptTokens))
		if failed, _ := b.reachOf("llm").State(); failed > 0 {
			b.t.Errorf("%d servers count as out of reach", failed)
		}
		for _, engine := range []string{"d1", "d2"} {
			if server := b.Fleet.Server(engine); server.IsUnreached(time.Now()) || server.Breaker.State(time.Now()) != route.BreakerClosed {
				b.t.Errorf("%s counts as one that can't be reached", engine)
			}
		}
		if reply.Reason != reason.NoDecodeMemory || len(siblings.asked) > 0 {
			b.t.Errorf("status %d, %q, asked %v", reply.Status, reply.Reason, siblings.asked)
		}
	})
}
