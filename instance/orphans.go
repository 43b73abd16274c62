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

// orphanGrace is how long an engine holds a request before this instance asks
// the request's home (the instance that the caller is connected to) whether the
// home still works on the request.
const orphanGrace = 2 * time.Second

// cancelOrphans cancels requests that no instance works on any more. These are
// requests whose home is dead, and requests that a live home has given up, for
// example because the cancel arrived at the engine before the request.
func (i *Instance) cancelOrphans(ctx context.Context, backend *table.BackendView, held []engine.Held) {
	if !i.config.Request.Protect.CancelOrphans {
		return
	}
	members := i.members.View()
	lingering := make(map[operation.Member][]engine.Held)
	now := clock.Now()
	i.heldTimes.retain(backend.Name, held)
	for _, h := range held {
		home, ok := operation.ParseMember(h.Home)
		switch {
		case !ok:
		case members.IsDead(home):
			i.cancelOrphan(ctx, backend, h)
		case home != i.self && !members.Knows(home):
			i.members.Introduce(home, now)
		case i.heldTimes.heldFor(backend.Name, h, now) >= orphanGrace:
			lingering[home] = append(lingering[home], h)
		}
	}
	for home, requests := range lingering {
		i.cancelAbandoned(ctx, backend, home, requests)
	}
}

func (i *Instance) cancelOrphan(ctx context.Context, backend *table.BackendView, h engine.Held) {
	if i.deps.Engines.Cancel(ctx, backend.Address, h.Attempt) == nil {
		i.Metrics.Orphans.Inc()
	}
}

// cancelAbandoned queries a live home about requests that an engine has held
// for orphanGrace, and cancels those that the home reports as ended.
func (i *Instance) cancelAbandoned(ctx context.Context, backend *table.BackendView, home operation.Member, requests []engine.Held) {
	query := &peer.ClaimsRequest{Home: home}
	byClaim := make(map[peer.Claim]engine.Held, len(requests))
	for _, h := range requests {
		claim := peer.Claim{RequestID: h.RequestID, Attempt: h.Number}
		query.Claims = append(query.Claims, claim)
		byClaim[claim] = h
	}
	for _, claim := range i.queryClaims(ctx, query) {
		if h, queried := byClaim[claim]; queried {
			i.cancelOrphan(ctx, backend, h)
		}
	}
}

func (i *Instance) queryClaims(ctx context.Context, query *peer.ClaimsRequest) []peer.Claim {
	if query.Home == i.self {
		return i.abandonedClaims(query).Abandoned
	}
	sibling, known := i.members.View().Find(query.Home.Name)
	if !known || sibling.Member() != query.Home {
		return nil
	}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{AskClaims: query})
	if err != nil || answer.Claims == nil || answer.Claims.Home != query.Home {
		return nil
	}
	return answer.Claims.Abandoned
}

// abandonedClaims returns the attempts (an attempt is one try of a request) in
// the query that this instance no longer works on. A claim is a home's
// statement that it still works on an attempt.
func (i *Instance) abandonedClaims(query *peer.ClaimsRequest) *peer.Claims {
	claims := &peer.Claims{Home: i.self}
	if query.Home != i.self {
		return claims
	}
	for _, claim := range query.Claims {
		if !i.Runner.IsClaimed(route.ReservationKey{RequestID: claim.RequestID, Attempt: claim.Attempt}) {
			claims.Abandoned = append(claims.Abandoned, claim)
		}
	}
	return claims
}

// heldTimes records since when each engine holds a request.
type heldTimes struct {
	mu        sync.Mutex
	firstHeld map[string]map[route.ReservationKey]time.Time
}

func holdKeyOf(h engine.Held) route.ReservationKey {
	return route.ReservationKey{RequestID: h.RequestID, Attempt: h.Number}
}

// retain removes the requests that the engine no longer holds.
func (s *heldTimes) retain(server string, held []engine.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstHeld == nil {
		s.firstHeld = make(map[string]map[route.ReservationKey]time.Time)
	}
	before := s.firstHeld[server]
	now := make(map[route.ReservationKey]time.Time, len(held))
	for _, h := range held {
		if at, seen := before[holdKeyOf(h)]; seen {
			now[holdKeyOf(h)] = at
		}
	}
	s.firstHeld[server] = now
}

// heldFor returns how long the engine has been observed to hold the request.
func (s *heldTimes) heldFor(server string, h engine.Held, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.firstHeld[server][holdKeyOf(h)]
	if !seen {
		s.firstHeld[server][holdKeyOf(h)] = now
		return 0
	}
	return now.Sub(at)
}
