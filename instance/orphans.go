package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// orphanGrace is how long a request is at an engine before its home is asked
// whether it still works on it.
const orphanGrace = 2 * time.Second

// cancelOrphans cancels what nobody works on any more: requests whose home is
// dead, and those that a living home has given up, as after a cancel that
// overtook its order.
func (i *Instance) cancelOrphans(ctx context.Context, backend *table.BackendView, held []engine.Held) {
	if !i.config.Request.Protect.Orphans {
		return
	}
	members := i.members.View()
	lingering := make(map[operation.Member][]engine.Held)
	now := clock.Now()
	i.held.retain(backend.Name, held)
	for _, h := range held {
		home, ok := operation.ParseMember(h.Home)
		switch {
		case !ok:
		case members.IsDead(home):
			i.cancelOrphan(ctx, backend, h)
		case home != i.self && !members.Knows(home):
			i.members.Introduce(home, now)
		case i.held.since(backend.Name, h, now) >= orphanGrace:
			lingering[home] = append(lingering[home], h)
		}
	}
	for home, its := range lingering {
		i.cancelAbandoned(ctx, backend, home, its)
	}
}

func (i *Instance) cancelOrphan(ctx context.Context, backend *table.BackendView, h engine.Held) {
	if i.deps.Engines.Cancel(ctx, backend.Address, h.Attempt) == nil {
		i.Metrics.Orphans.Inc()
	}
}

// cancelAbandoned asks a living home about its lingering requests, and cancels
// those that it says have ended.
func (i *Instance) cancelAbandoned(ctx context.Context, backend *table.BackendView, home operation.Member, its []engine.Held) {
	ask := &peer.AskClaims{Home: home}
	byClaim := make(map[peer.Claim]engine.Held, len(its))
	for _, h := range its {
		claim := peer.Claim{RequestID: h.RequestID, Attempt: h.Number}
		ask.Claims = append(ask.Claims, claim)
		byClaim[claim] = h
	}
	for _, claim := range i.askClaims(ctx, ask) {
		if h, asked := byClaim[claim]; asked {
			i.cancelOrphan(ctx, backend, h)
		}
	}
}

func (i *Instance) askClaims(ctx context.Context, ask *peer.AskClaims) []peer.Claim {
	if ask.Home == i.self {
		return i.claimsHere(ask).Abandoned
	}
	sibling, known := i.members.View().Find(ask.Home.Name)
	if !known || sibling.Member() != ask.Home {
		return nil
	}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{AskClaims: ask})
	if err != nil || answer.Claims == nil || answer.Claims.Home != ask.Home {
		return nil
	}
	return answer.Claims.Abandoned
}

// claimsHere says which of the attempts have ended.
func (i *Instance) claimsHere(ask *peer.AskClaims) *peer.Claims {
	claims := &peer.Claims{Home: i.self}
	if ask.Home != i.self {
		return claims
	}
	for _, claim := range ask.Claims {
		if !i.Runner.Claims(route.HoldKey{RequestID: claim.RequestID, Attempt: claim.Attempt}) {
			claims.Abandoned = append(claims.Abandoned, claim)
		}
	}
	return claims
}

// heldSince remembers since when each engine holds a request.
type heldSince struct {
	mu    sync.Mutex
	first map[string]map[route.HoldKey]time.Time
}

func holdKeyOf(h engine.Held) route.HoldKey {
	return route.HoldKey{RequestID: h.RequestID, Attempt: h.Number}
}

// retain forgets what the engine no longer holds.
func (s *heldSince) retain(worker string, held []engine.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = make(map[string]map[route.HoldKey]time.Time)
	}
	before := s.first[worker]
	now := make(map[route.HoldKey]time.Time, len(held))
	for _, h := range held {
		if at, seen := before[holdKeyOf(h)]; seen {
			now[holdKeyOf(h)] = at
		}
	}
	s.first[worker] = now
}

// since returns how long the engine has been seen to hold the request.
func (s *heldSince) since(worker string, h engine.Held, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.first[worker][holdKeyOf(h)]
	if !seen {
		s.first[worker][holdKeyOf(h)] = now
		return 0
	}
	return now.Sub(at)
}
