package forward

import (
	"cmp"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
)

// An instance whose links to the servers fail hands requests over to a sibling, which serves them by
// its own links and sends the answer back. A request that was handed over is not handed over again.

// Siblings passes requests on to other instances.
type Siblings interface {
	// Targets returns the siblings that may serve a request of this instance, the best first.
	Targets() []Sibling
	// Serve has a sibling serve a request by a deadline. Its error is a *NotRunError if the
	// request certainly did not run. After any other error a server may have run it.
	Serve(ctx context.Context, to Sibling, r *Request, deadline time.Time) (*Reply, error)
}

// Sibling is another instance.
type Sibling struct {
	Name    string
	Address string
}

const (
	// maxHandOvers bounds how many siblings are asked to serve one request. A sibling that is cut off too
	// declines within a round trip. Of 61 siblings with 45 cut off, 16 drawn at random are all cut off for
	// 3 requests in a thousand, and four for 286.
	maxHandOvers = 16
	// maxOverrun is how many siblings may refuse a request for lack of capacity. One sibling may get the
	// requests of several instances. After two, the service is likely to be full.
	maxOverrun = 2
	// declinedFor is how long a sibling that declined a request is asked last. It is about the time in which
	// an instance notices the end of a cut.
	declinedFor = time.Second
)

// serveWhenCutOff serves a request of a service to whose servers this instance can open no connection:
// by a sibling, or not at all if the request comes from a sibling or none can serve it either. It
// returns nil if this instance is to try its own links, which includes connections that are open still.
func (f *flow) serveWhenCutOff() *Reply {
	known := f.reachOf(f.service.Name)
	if !known.IsCutOff() {
		return nil
	}
	if f.request.HandedOver == "" {
		if reply := f.handOver(); reply != nil {
			return reply
		}
		if known.OpenConnectionsWork() {
			return nil
		}
	}
	return f.refuse(reason.CutOff, "neither this instance nor a sibling that was asked reaches a server of the service")
}

// mayHandOver reports whether a request that would be refused is handed over instead, because the
// links of this instance seem to be the cause.
func (f *flow) mayHandOver(why reason.Reason) bool {
	if f.Siblings == nil || f.request.HandedOver != "" || f.askedSiblings || !clock.Now().Before(f.deadline) {
		return false
	}
	if why == reason.VersionGone {
		// A sibling with another subset of the servers may know one of that version.
		return f.servers.Subset
	}
	return f.linksMayCause(why)
}

// minUnanswered is how many calls of a request must have got no answer for the links of the instance to be
// a likely cause of its refusal. One call without an answer says more about its server.
const minUnanswered = 2

// linksMayCause reports whether lost links of this instance may be the cause of a refusal. The request's own
// calls show it first: an instance with few requests tries few of many servers.
func (f *flow) linksMayCause(why reason.Reason) bool {
	switch why {
	case reason.ConnectFailed:
		return true
	case reason.NoBackend, reason.NoDecodeMemory, reason.NoFreeSlot, reason.DeadlineTooClose, reason.PrefillFailed, reason.PrefillRefused, reason.HandoffRefused:
		known := f.reachOf(f.service.Name)
		return f.unanswered >= minUnanswered || known.IsCutOff() || known.Suspected(len(f.entriesOf(f.service.Name))) || f.manyUnreached()
	}
	return false
}

// manyUnreached reports whether half of the servers of the request's service, or more, could not be
// reached recently.
func (f *flow) manyUnreached() bool {
	now, all, unreached := clock.Now(), 0, 0
	for _, pool := range f.poolsOf(f.service.Name) {
		for _, backend := range pool {
			all++
			if server := f.Fleet.Server(backend.Name); server != nil && server.IsUnreached(now) {
				unreached++
			}
		}
	}
	return unreached > 0 && 2*unreached >= all
}

// handOver has a sibling serve the request. It returns nil if none could be asked or all declined, in
// which case the request has not run. It refuses the request once this instance may stop before the end of an answer that it
// passes on.
func (f *flow) handOver() *Reply {
	if f.Siblings == nil || f.askedSiblings {
		return nil
	}
	f.askedSiblings = true
	handed := *f.request
	handed.Revision = f.revision
	if f.findOrigin(f.caller) {
		handed.Origin = f.origin.Load()
	}
	// The sibling that serves the request charges its team.
	f.refund(reason.NotRun)
	ctx, cancel := clock.WithDeadline(f.caller, f.deadline)
	// refused is the reply of the last sibling that had no capacity, refusedBy.
	var refused *Reply
	refusedBy, overrun := "", 0
	for i, sibling := range f.declines.last(f.Siblings.Targets(), clock.Now()) {
		if i == maxHandOvers || overrun == maxOverrun || f.stopsTooSoon() || ctx.Err() != nil {
			break
		}
		// The shutdown may begin while siblings are asked.
		if stopping := f.stopping.Load(); stopping != nil {
			handed.SenderEnds = stopping.ends
		}
		began := clock.Now()
		reply, err := f.Siblings.Serve(ctx, sibling, &handed, f.deadline)
		f.recordHandOver(sibling, began, reply, err)
		switch {
		case isNotRun(err), err == nil && declined(reply):
			f.declines.add(sibling.Name, clock.Now())
		case err != nil:
			defer cancel()
			f.mayHaveRun, f.endedBy, f.handedOverTo = true, reason.EndedBySibling, sibling.Name
			return f.endWithoutAnswer(ctx, err)
		case lacksCapacity(reply):
			overrun, refused, refusedBy = overrun+1, reply, sibling.Name
		default:
			f.handedOverTo = sibling.Name
			return f.passOn(ctx, reply, cancel)
		}
	}
	if f.stopsTooSoon() {
		cancel()
		return f.refuse(reason.Stopping, errStopping.Error())
	}
	if refused != nil {
		f.handedOverTo = refusedBy
		return f.passOn(ctx, refused, cancel)
	}
	cancel()
	return nil
}

// declined reports whether a sibling cannot serve a request either, because it reaches no server, is
// stopping, has no table yet or an older one, knows no server of the version that began the stream, or has no memory for
// the request.
func declined(reply *Reply) bool {
	switch reply.Reason {
	case reason.CutOff, reason.ConnectFailed, reason.NoBackend, reason.Stopping, reason.StaleTable, reason.VersionGone, reason.MemoryFull:
		return promisesNotRun(reply.Status)
	}
	return false
}

// lacksCapacity reports whether a sibling refused a request for lack of capacity, of which another one
// may have some: each instance decides by its own share or estimate.
func lacksCapacity(reply *Reply) bool {
	switch reply.Reason {
	case reason.NoFreeSlot, reason.NoDecodeMemory:
		return promisesNotRun(reply.Status)
	}
	return false
}

// declines holds the siblings that declined a request recently. The heartbeats that say that an instance is
// cut off take a while to reach the others, and longer through hubs.
type declines struct {
	mu sync.Mutex
	at map[string]time.Time
}

// add records that a sibling declined a request, and forgets what is no longer recent.
func (d *declines) add(sibling string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.at, func(_ string, at time.Time) bool { return now.Sub(at) >= declinedFor })
	d.at[sibling] = now
}

// last moves the siblings that declined a request recently to the end.
func (d *declines) last(targets []Sibling, now time.Time) []Sibling {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := func(sibling Sibling) bool {
		at, known := d.at[sibling.Name]
		return known && now.Sub(at) < declinedFor
	}
	first := slices.DeleteFunc(slices.Clone(targets), recent)
	for _, sibling := range targets {
		if recent(sibling) {
			first = append(first, sibling)
		}
	}
	return first
}

func (f *flow) recordHandOver(to Sibling, began time.Time, reply *Reply, err error) {
	status, why := 0, reason.None
	if err == nil {
		status, why = reply.Status, reply.Reason
	}
	f.record(stepHandOver, resultOf(err), "sibling", to.Name, "status", status, "why", why, "tookMillis", clock.Since(began).Milliseconds())
	f.Metrics.HandedOver(err == nil && !declined(reply))
}

// passOn ends the request with the reply of a sibling. ctx is the context of the sibling's work, and cancel ends it.
func (f *flow) passOn(ctx context.Context, reply *Reply, cancel context.CancelFunc) *Reply {
	f.mayHaveRun = !promisesNotRun(reply.Status)
	if reply.Stream == nil {
		cancel()
		return f.end(reply, "")
	}
	handed := &handedStream{ReadCloser: reply.Stream, flow: f, ctx: ctx, status: reply.Status, why: reply.Reason, cancel: cancel}
	if !handed.begin() {
		handed.status = statusBadGateway
		if handed.endedBy == reason.EndedByDeadline {
			handed.status = statusTimeout
		}
		// The close of a stream that broke off fails as well, and says nothing new.
		_ = handed.Close()
		return &Reply{Status: handed.status, Reason: handed.why}
	}
	reply.Stream = handed
	return reply
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run.
func promisesNotRun(status int) bool { return status == statusUnavailable || status == statusOverLimit }

// handedStream is a stream that a sibling passes on.
type handedStream struct {
	io.ReadCloser
	flow   *flow
	ctx    context.Context
	status int
	why    reason.Reason
	cancel context.CancelFunc
	// first holds bytes that were read before the reply was given.
	first []byte
	begun bool
	// ended is the error that ended the stream, and endedBy what ended one that broke off.
	ended   error
	endedBy reason.Ending
	closed  bool
}

// begin waits for the first bytes, and reports whether there are any, or the proper end.
func (s *handedStream) begin() bool {
	buffer := make([]byte, relayRead)
	for len(s.first) == 0 && s.ended == nil {
		n, err := s.ReadCloser.Read(buffer)
		s.first = buffer[:n]
		s.end(err)
	}
	s.begun = len(s.first) > 0 || s.ended == io.EOF
	return s.begun
}

// Read implements io.Reader.
func (s *handedStream) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	if s.ended != nil {
		return 0, s.ended
	}
	n, err := s.ReadCloser.Read(p)
	s.end(err)
	return n, err
}

// end records the error of a read, and what ended a stream that broke off. Its caller may leave later.
func (s *handedStream) end(err error) {
	s.ended = err
	if err != nil && err != io.EOF {
		s.endedBy = cmp.Or(s.flow.interruption(s.ctx), reason.EndedBySibling)
	}
}

// Close implements io.Closer.
func (s *handedStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	err := s.ReadCloser.Close()
	s.cancel()
	s.flow.release()
	detail := ""
	switch {
	case s.ended == io.EOF:
	case s.ended == nil, s.endedBy == reason.EndedByCaller:
		s.why = reason.CallerGone
		s.flow.endedBy = reason.EndedByCaller
	default:
		s.why, detail = reason.StreamBroken, s.ended.Error()
		s.flow.endedBy, s.flow.cut = s.endedBy, s.begun
		if s.endedBy == reason.EndedByStop {
			s.why = reason.Stopping
		}
	}
	s.flow.close(s.status, s.why, detail)
	return errors.Wrap(err, "close the stream of a sibling")
}
