package instance

import (
	"context"
	"sync"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// stewards reaches the steward of any worker for the runner.
type stewards struct{ *Instance }

// Reserve implements request.Stewards.
func (s stewards) Reserve(ctx context.Context, worker string, ask route.Ask) route.Grant {
	owner := s.ownerOf(worker)
	if owner == s.self.Name {
		return s.steward.Reserve(worker, ask, clock.Now())
	}
	sibling, known := s.members.View().Find(owner)
	if !known {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	answer, err := s.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{Reserve: &peer.Reserve{
		Worker: worker, RequestID: ask.RequestID, Attempt: ask.Attempt, Pieces: ask.Pieces, TTL: ask.TTL,
		LandIn: ask.LandIn, HoldFor: ask.HoldFor, Headroom: ask.Headroom, Tokens: ask.Tokens, MostAhead: ask.MostAhead,
	}})
	if err != nil || answer.Reserved == nil {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	return route.Grant{Refused: answer.Reserved.Refused, Free: answer.Reserved.Free, Ahead: answer.Reserved.Ahead}
}

// Release implements request.Stewards.
func (s stewards) Release(worker string, key route.HoldKey) {
	owner := s.ownerOf(worker)
	if owner == s.self.Name {
		s.steward.Release(worker, key, clock.Now())
		return
	}
	if sibling, known := s.members.View().Find(owner); known {
		s.deps.Peers.Send(sibling.Peer, &peer.Message{Release: &peer.Release{
			Worker: worker, RequestID: key.RequestID, Attempt: key.Attempt,
		}})
	}
}

func (i *Instance) reserveHere(ask *peer.Reserve) *peer.Reserved {
	grant := i.steward.Reserve(ask.Worker, route.Ask{
		HoldKey: route.HoldKey{RequestID: ask.RequestID, Attempt: ask.Attempt}, Pieces: ask.Pieces, TTL: ask.TTL,
		LandIn: ask.LandIn, HoldFor: ask.HoldFor, Headroom: ask.Headroom, Tokens: ask.Tokens, MostAhead: ask.MostAhead,
	}, clock.Now())
	return &peer.Reserved{Refused: grant.Refused, Free: grant.Free, Ahead: grant.Ahead}
}

// ownerOf names the instance of this cell that is the steward of a worker.
func (i *Instance) ownerOf(worker string) string {
	return route.Owner(worker, i.cellMates())
}

// inspectWorkers asks the workers that this instance is the steward of for
// their load, and cancels what dead homes left there.
func (i *Instance) inspectWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	view := i.keeper.View()
	i.steward.Retain(func(worker string) bool {
		_, exists := view.Backends[worker]
		return exists && i.ownerOf(worker) == i.self.Name
	})
	var group sync.WaitGroup
	for _, backend := range view.Backends {
		if backend.Role == table.RolePlain || i.ownerOf(backend.Name) != i.self.Name {
			continue
		}
		group.Go(func() { i.inspect(ctx, backend) })
	}
	group.Wait()
}

func (i *Instance) inspect(ctx context.Context, backend *table.BackendView) {
	asked := clock.Now()
	load, err := i.deps.Engines.Load(ctx, backend.Address)
	if err != nil {
		return
	}
	if server := i.fleet.Server(backend.Name); server != nil {
		server.Observe(&route.Report{
			At: asked, WaitingTokens: load.WaitingTokens, Running: load.Running,
			FreePieces: load.FreePieces, Leaving: load.Leaving,
		})
	}
	if backend.Role == table.RolePrefill {
		i.readCacheEvents(ctx, backend)
	}
	held := make(map[route.HoldKey]int, len(load.Held))
	for _, h := range load.Held {
		held[route.HoldKey{RequestID: h.RequestID, Attempt: h.Number}] = h.Pieces
	}
	i.steward.Observe(backend.Name, route.EngineReport{
		TakenAt: asked, Pieces: load.Pieces, WaitingTokens: load.WaitingTokens, Held: held,
	})
	i.cancelOrphans(ctx, backend, load.Held)
}

// Steward names the instance that grants a worker's memory.
func (i *Instance) Steward(worker string) string { return i.ownerOf(worker) }
