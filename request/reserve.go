package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trace"
)

// release gives promised memory back.
func (m *modelRun) release(worker *route.Rated) {
	if m.config.Policy.Reserve {
		m.Stewards.Release(worker.Name, m.holdKey())
	}
}

func (m *modelRun) holdKey() route.HoldKey {
	return route.HoldKey{RequestID: m.ask.ID, Attempt: m.attempt}
}

// reserve waits for a turn at a prefill engine and a promise of decode memory
// for as long as the first token can still come in time, and refuses as soon
// as it cannot.
func (m *modelRun) reserve(ctx context.Context) (attemptEnd, bool) {
	waited := reason.None
	for {
		if ctx.Err() != nil {
			return attemptEnd{why: reason.CallerGone}, false
		}
		why := m.tryReserve(ctx)
		if why == reason.None {
			m.step(Promise, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if m.giveUpWaiting(why, clock.Now()) {
			m.noteRefused(why)
			return attemptEnd{final: true, why: lateReason(why, waited)}, false
		}
		waited = why
		m.pause(ctx, m.config.PollEvery)
	}
}

// noteRefused records the last choice in vain, for the operator to see.
func (m *modelRun) noteRefused(why reason.Reason) {
	if m.refused == nil {
		return
	}
	m.record.Add(clock.Now(), trace.Step{
		Attempt: m.attempt, State: m.life.State().String(), Reason: why, Server: m.refused.Pick, Choice: m.refused,
	})
}

// noteDropped keeps a decision in which every candidate was dropped, with the
// filters that did it.
func (m *modelRun) noteDropped(why reason.Reason, decision *route.Decision) {
	if why == reason.NoBackend {
		m.refused = decision
	}
}

// tryReserve asks once for both places. The turn at the prefill engine comes
// first, since it says when the memory will be needed.
func (m *modelRun) tryReserve(ctx context.Context) reason.Reason {
	if why := m.reservePrefill(ctx); why != reason.None {
		return why
	}
	why := m.reserveDecode(ctx)
	if why != reason.None {
		m.release(m.prefill)
	}
	return why
}

// lateReason names what a request that ran out of time had waited for.
func lateReason(why, waited reason.Reason) reason.Reason {
	if why == reason.ReserveRefused || waited == reason.ReserveRefused {
		return reason.NoDecodeMemory
	}
	return why
}

// giveUpWaiting says whether waiting for places is of no more use. A turn
// that comes too late only comes later still. A request that has already
// begun its answer goes on for a while longer.
func (m *modelRun) giveUpWaiting(why reason.Reason, now time.Time) bool {
	hopeless := why == reason.DeadlineTooClose && m.config.Policy.RefuseEarly
	if why == reason.NoBackend {
		// Servers that failed this request may be better than none; with none
		// excluded for that, there is nothing to wait for.
		hopeless = len(m.triedDecode) == 0 && len(m.triedPrefill) == 0
		m.triedDecode, m.triedPrefill = nil, nil
	}
	if m.cursor.next > 0 {
		return now.After(m.last.Add(resumePatience))
	}
	return hopeless || now.After(m.deadline)
}

// resumePatience is how long a begun answer waits for a place to resume.
const resumePatience = 10 * time.Second

// reservePrefill asks the stewards of prefill engines for a turn, in the
// order of preference.
func (m *modelRun) reservePrefill(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = clock.Now()
	query.Exclude = append([]string(nil), m.triedPrefill...)
	query.Partner = nil
	why := reason.NoBackend
	for range m.service.Prefill {
		decision := m.Runner.prefill.Decide(&query, m.Fleet, m.service.Prefill)
		chosen := decision.Chosen
		if chosen == nil {
			m.noteDropped(why, &decision)
			break
		}
		if why = m.askTurn(ctx, chosen, &query); why == reason.None {
			m.note(&decision)
			m.prefill = chosen
			return reason.None
		}
		m.refused = &decision
		query.Exclude = append(query.Exclude, chosen.Name)
	}
	return why
}

// askTurn asks for a turn that ends before the first token is due.
func (m *modelRun) askTurn(ctx context.Context, chosen *route.Rated, query *route.Query) reason.Reason {
	unread := query.Unread(chosen.Candidate)
	reading := chosen.Server.ReadTime(unread)
	transfer := m.transferTime()
	if !m.config.Policy.Reserve {
		m.landIn = reading + transfer
		return reason.None
	}
	mostAhead := anyAhead
	if m.cursor.next == 0 {
		slack := m.deadline.Sub(query.Now) - reading - transfer - firstStep
		if slack < 0 {
			return reason.DeadlineTooClose
		}
		mostAhead = chosen.Server.ReadTokens(slack)
	}
	grant := m.askSteward(ctx, chosen.Name, route.Ask{
		HoldKey: m.holdKey(), Tokens: max(unread, 1), MostAhead: mostAhead, TTL: reservationTTL,
	})
	m.landIn = chosen.Server.ReadTime(grant.Ahead+unread) + transfer
	return grant.Refused
}

const (
	// anyAhead lets a begun answer resume however long the queue is.
	anyAhead = 1 << 40
	// firstStep is the time of the first decode step.
	firstStep = 40 * time.Millisecond
	// reservationTTL outlasts a prefill and a transfer within the targets.
	reservationTTL = 3 * time.Second
)

// transferTime estimates the transfer by what was measured at any engine.
func (m *modelRun) transferTime() time.Duration {
	for _, backend := range m.service.Decode {
		server := m.Fleet.Server(backend.Name)
		if server == nil {
			continue
		}
		if estimate, known := server.Transfers.Time(m.query.PromptTokens); known {
			return estimate
		}
	}
	return 0
}

// reserveDecode asks the stewards of decode engines for memory, in the order
// of preference.
func (m *modelRun) reserveDecode(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = clock.Now()
	query.Exclude = append([]string(nil), m.triedDecode...)
	query.Partner = m.prefill.Backend
	why := reason.NoBackend
	for range m.service.Decode {
		decision := m.Runner.decode.Decide(&query, m.Fleet, m.service.Decode)
		if decision.Chosen == nil {
			m.noteDropped(why, &decision)
			break
		}
		if why = m.askMemory(ctx, decision.Chosen.Name); why == reason.None {
			m.note(&decision)
			m.decode = decision.Chosen
			return reason.None
		}
		m.refused = &decision
		query.Exclude = append(query.Exclude, decision.Chosen.Name)
	}
	return why
}

func (m *modelRun) askMemory(ctx context.Context, worker string) reason.Reason {
	if !m.config.Policy.Reserve {
		return reason.None
	}
	return m.askSteward(ctx, worker, route.Ask{
		HoldKey: m.holdKey(), Pieces: m.query.Pieces, TTL: m.landIn + reservationTTL,
		LandIn: m.landIn, HoldFor: m.holdTime(), Headroom: m.headroom(),
	}).Refused
}

// headroom is the memory that must stay free for others. A begun answer
// yields to nobody.
func (m *modelRun) headroom() int {
	if m.cursor.next > 0 {
		return 0
	}
	return route.Headroom(m.place.OverShare(), m.below)
}

// holdTime is how long the decode engine is expected to hold the request, at
// the pace that the target allows. The pace that was measured is a little
// quicker, and promising by it ends in transfers that find no memory.
func (m *modelRun) holdTime() time.Duration {
	return time.Duration(m.ask.MaxTokens-m.cursor.next) * m.service.TBT
}

func (m *modelRun) askSteward(ctx context.Context, worker string, ask route.Ask) route.Grant {
	ctx, cancel := context.WithTimeout(ctx, m.config.ReserveTimeout)
	defer cancel()
	return m.Stewards.Reserve(ctx, worker, ask)
}
