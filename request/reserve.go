package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trace"
)

// release releases the reservation at a server.
func (m *modelRun) release(server *route.ScoredCandidate) {
	if m.config.Policy.Reserve {
		m.Stewards.Release(server.Name, m.holdKey())
	}
}

func (m *modelRun) holdKey() route.ReservationKey {
	return route.ReservationKey{RequestID: m.req.ID, Attempt: m.attempt}
}

// reserve waits for a turn at a prefill engine (a place in its prefill queue) and a
// reservation of decode memory as long as the first token can still be in time. It refuses
// the request as soon as that is no longer possible.
func (m *modelRun) reserve(ctx context.Context) (attemptResult, bool) {
	waited := reason.None
	for {
		if ctx.Err() != nil {
			return attemptResult{why: reason.CallerGone}, false
		}
		why := m.tryReserve(ctx)
		if why == reason.None {
			m.step(ReservationGranted, reason.None, m.decode.Name)
			return attemptResult{}, true
		}
		if m.shouldStopWaiting(why, clock.Now()) {
			m.recordRefusedDecision(why)
			return attemptResult{final: true, why: timeoutReason(why, waited)}, false
		}
		waited = why
		m.pause(ctx, m.config.PollEvery)
	}
}

// recordRefusedDecision adds the last failed decision to the trace for the
// operator.
func (m *modelRun) recordRefusedDecision(why reason.Reason) {
	if m.refusedDecision == nil {
		return
	}
	m.record.Add(clock.Now(), trace.Step{
		Attempt: m.attempt, State: m.life.State().String(), Reason: why, Server: m.refusedDecision.Pick, Choice: m.refusedDecision,
	})
}

// keepFilteredDecision stores a decision in which every candidate was filtered
// out. The decision names the filters.
func (m *modelRun) keepFilteredDecision(why reason.Reason, decision *route.Decision) {
	if why == reason.NoBackend {
		m.refusedDecision = decision
	}
}

// tryReserve requests a turn at a prefill engine and decode memory once each.
// The turn at the prefill engine comes first, since it determines when the
// memory is needed.
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

// timeoutReason returns the reason for a request that ran out of time while it
// waited for a reservation.
func timeoutReason(why, waited reason.Reason) reason.Reason {
	if why == reason.ReserveRefused || waited == reason.ReserveRefused {
		return reason.NoDecodeMemory
	}
	return why
}

// shouldStopWaiting reports whether waiting for reservations is pointless. If the turn
// offered now is too late for the first token, a later one would be too. A request whose
// answer has already begun waits longer.
func (m *modelRun) shouldStopWaiting(why reason.Reason, now time.Time) bool {
	hopeless := why == reason.DeadlineTooClose && m.config.Policy.RefuseEarly
	if why == reason.NoBackend {
		// Servers that failed this request may be better than none, so they are
		// tried again. If none was excluded for that reason, there is nothing
		// to wait for.
		hopeless = len(m.triedDecode) == 0 && len(m.triedPrefill) == 0
		m.triedDecode, m.triedPrefill = nil, nil
	}
	if m.cursor.next > 0 {
		return now.After(m.lastTokenAt.Add(resumeTimeout))
	}
	return hopeless || now.After(m.deadline)
}

// resumeTimeout is how long a request whose answer has begun waits for the
// reservations to resume.
const resumeTimeout = 10 * time.Second

// reservePrefill requests a turn from the stewards of prefill engines in the order of
// preference.
func (m *modelRun) reservePrefill(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = clock.Now()
	query.Exclude = append([]string(nil), m.triedPrefill...)
	query.Partner = nil
	why := reason.NoBackend
	for range m.service.Prefill {
		decision := m.Runner.prefillProfile.Decide(&query, m.Fleet, m.service.Prefill)
		selected := decision.Selected
		if selected == nil {
			m.keepFilteredDecision(why, &decision)
			break
		}
		if why = m.reserveTurn(ctx, selected, &query); why == reason.None {
			m.recordDecision(&decision)
			m.prefill = selected
			return reason.None
		}
		m.refusedDecision = &decision
		query.Exclude = append(query.Exclude, selected.Name)
	}
	return why
}

// reserveTurn requests a turn that ends before the first token is due.
func (m *modelRun) reserveTurn(ctx context.Context, selected *route.ScoredCandidate, query *route.Query) reason.Reason {
	uncached := query.Unread(selected.Candidate)
	prefillTime := selected.Server.ReadTime(uncached)
	transfer := m.transferTime()
	if !m.config.Policy.Reserve {
		m.untilArrival = prefillTime + transfer
		return reason.None
	}
	maxAhead := unlimitedAhead
	if m.cursor.next == 0 {
		slack := m.deadline.Sub(query.Now) - prefillTime - transfer - firstDecodeStep
		if slack < 0 {
			return reason.DeadlineTooClose
		}
		maxAhead = selected.Server.ReadTokens(slack)
	}
	grant := m.requestReservation(ctx, selected.Name, route.Demand{
		ReservationKey: m.holdKey(), Tokens: max(uncached, 1), MaxTokensAhead: maxAhead, TTL: reservationTTL,
	})
	m.untilArrival = selected.Server.ReadTime(grant.Ahead+uncached) + transfer
	return grant.Refused
}

const (
	// unlimitedAhead lets a request whose answer has begun resume however long
	// the queue is.
	unlimitedAhead = 1 << 40
	// firstDecodeStep is the time allowed for the decode step that generates the first
	// token.
	firstDecodeStep = 40 * time.Millisecond
	// reservationTTL exceeds the time of a prefill and a transfer that meet the target for
	// the time to the first token.
	reservationTTL = 3 * time.Second
)

// transferTime estimates the transfer time from the first decode engine that
// has measurements.
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

// reserveDecode requests memory from the stewards of decode engines in the
// order of preference.
func (m *modelRun) reserveDecode(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = clock.Now()
	query.Exclude = append([]string(nil), m.triedDecode...)
	query.Partner = m.prefill.Backend
	why := reason.NoBackend
	for range m.service.Decode {
		decision := m.Runner.decodeProfile.Decide(&query, m.Fleet, m.service.Decode)
		if decision.Selected == nil {
			m.keepFilteredDecision(why, &decision)
			break
		}
		if why = m.reserveMemory(ctx, decision.Selected.Name); why == reason.None {
			m.recordDecision(&decision)
			m.decode = decision.Selected
			return reason.None
		}
		m.refusedDecision = &decision
		query.Exclude = append(query.Exclude, decision.Selected.Name)
	}
	return why
}

func (m *modelRun) reserveMemory(ctx context.Context, server string) reason.Reason {
	if !m.config.Policy.Reserve {
		return reason.None
	}
	return m.requestReservation(ctx, server, route.Demand{
		ReservationKey: m.holdKey(), Pieces: m.query.Pieces, TTL: m.untilArrival + reservationTTL,
		ArrivesIn: m.untilArrival, HoldFor: m.decodeTime(), Headroom: m.headroom(),
	}).Refused
}

// headroom is the memory that must stay free for other requests. A request
// whose answer has begun need not leave any.
func (m *modelRun) headroom() int {
	if m.cursor.next > 0 {
		return 0
	}
	return route.Headroom(m.slot.ShareRatio(), m.stepsBelowTop)
}

// decodeTime is how long the decode engine is expected to hold the memory, at the target
// for the time between tokens. The measured time is a little shorter, and reservations
// based on it lead to transfers that find no free memory.
func (m *modelRun) decodeTime() time.Duration {
	return time.Duration(m.req.MaxTokens-m.cursor.next) * m.service.TBT
}

func (m *modelRun) requestReservation(ctx context.Context, server string, req route.Demand) route.Grant {
	ctx, cancel := context.WithTimeout(ctx, m.config.ReserveTimeout)
	defer cancel()
	return m.Stewards.Reserve(ctx, server, req)
}
