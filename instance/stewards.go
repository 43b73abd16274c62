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

// stewards implements request.Stewards. It calls the steward of a server (the
// instance that grants reservations at an engine), which may be this instance.
type stewards struct{ *Instance }

// Reserve implements request.Stewards.
func (s stewards) Reserve(ctx context.Context, server string, request route.Demand) route.Grant {
	owner := s.ownerOf(server)
	if owner == s.self.Name {
		return s.steward.Reserve(server, request, clock.Now())
	}
	sibling, known := s.members.View().Find(owner)
	if !known {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	answer, err := s.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{Reserve: &peer.Reserve{
		Server: server, RequestID: request.RequestID, Attempt: request.Attempt, Pieces: request.Pieces, TTL: request.TTL,
		ArrivesIn: request.ArrivesIn, HoldFor: request.HoldFor, Headroom: request.Headroom, Tokens: request.Tokens, MaxTokensAhead: request.MaxTokensAhead,
	}})
	if err != nil || answer.Reserved == nil {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	return route.Grant{Refused: answer.Reserved.Refused, Free: answer.Reserved.Free, Ahead: answer.Reserved.Ahead}
}

// Release implements request.Stewards.
func (s stewards) Release(server string, key route.ReservationKey) {
	owner := s.ownerOf(server)
	if owner == s.self.Name {
		s.steward.Release(server, key, clock.Now())
		return
	}
	if sibling, known := s.members.View().Find(owner); known {
		s.deps.Peers.Send(sibling.Peer, &peer.Message{Release: &peer.Release{
			Server: server, RequestID: key.RequestID, Attempt: key.Attempt,
		}})
	}
}

func (i *Instance) handleReserve(request *peer.Reserve) *peer.Reserved {
	grant := i.steward.Reserve(request.Server, route.Demand{
		ReservationKey: route.ReservationKey{RequestID: request.RequestID, Attempt: request.Attempt}, Pieces: request.Pieces, TTL: request.TTL,
		ArrivesIn: request.ArrivesIn, HoldFor: request.HoldFor, Headroom: request.Headroom, Tokens: request.Tokens, MaxTokensAhead: request.MaxTokensAhead,
	}, clock.Now())
	return &peer.Reserved{Refused: grant.Refused, Free: grant.Free, Ahead: grant.Ahead}
}

// ownerOf returns the name of the instance that owns a key, among those of this cell (the
// group of instances that know each other fully). The owner of a server's name is the
// steward of that server.
func (i *Instance) ownerOf(server string) string {
	return route.Owner(server, i.cellMemberNames())
}

// inspectServers queries the load of the servers whose steward is this
// instance, and cancels requests there that no home (the instance that a caller
// is connected to) works on any more.
func (i *Instance) inspectServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	view := i.tables.View()
	i.steward.Retain(func(server string) bool {
		_, exists := view.Backends[server]
		return exists && i.ownerOf(server) == i.self.Name
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
	sentAt := clock.Now()
	load, err := i.deps.Engines.Load(ctx, backend.Address)
	if err != nil {
		return
	}
	if server := i.fleet.Server(backend.Name); server != nil {
		server.Observe(&route.Report{
			At: sentAt, WaitingTokens: load.WaitingTokens, Running: load.Running,
			FreePieces: load.FreePieces, Leaving: load.Draining,
		})
	}
	if backend.Role == table.RolePrefill {
		i.readCacheEvents(ctx, backend)
	}
	held := make(map[route.ReservationKey]int, len(load.Held))
	for _, h := range load.Held {
		held[route.ReservationKey{RequestID: h.RequestID, Attempt: h.Number}] = h.Pieces
	}
	i.steward.Observe(backend.Name, route.EngineReport{
		TakenAt: sentAt, Pieces: load.Pieces, WaitingTokens: load.WaitingTokens, Held: held,
	})
	i.cancelOrphans(ctx, backend, load.Held)
}

// Steward returns the name of the instance that grants reservations at a
// server.
func (i *Instance) Steward(server string) string { return i.ownerOf(server) }
