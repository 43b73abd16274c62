package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// A stream of which the caller has events continues only at servers of the release that began it, since
// servers do not check this. That holds for the engine that decodes and for the one that reads the
// prompt again.

// Origins holds where streams began that their callers may take up, at this instance and at others.
type Origins interface {
	// Began records where a stream began that its caller may take up until a time. request is the ID of
	// the request that brought its first event, and server the run of the server.
	Began(request string, at origin.Origin, server string, until time.Time)
	// Find returns where a stream of a service began, and how that is known; metrics.OriginUnknown if it
	// cannot be learned. request is the ID of the request that brought its first event, empty if the
	// caller does not name it.
	Find(ctx context.Context, request, service string) (origin.Origin, metrics.OriginSource)
	// MayBegin reports whether a stream that its caller may take up may begin at a release. If not, it
	// returns the time until it may. The instance that the caller comes to may not know of a new release.
	MayBegin(at origin.Origin) (after time.Duration, ok bool)
}

// firstRequest returns the ID of the request that brought the stream's first event; empty if the caller
// takes a stream up and does not name it.
func (r *Request) firstRequest() string {
	if r.LastEvent == "" {
		return r.ID
	}
	return r.Resumes
}

// findOrigin finds where a stream began that its caller takes up, and reports whether that is known. For
// other requests it returns true.
func (f *flow) findOrigin(ctx context.Context) bool {
	r := f.request
	if r.LastEvent == "" || r.Generation == nil || f.origin.Load() != nil {
		return true
	}
	if r.Origin != nil {
		f.origin.Store(r.Origin)
		return true
	}
	began := clock.Now()
	at, source := f.Origins.Find(ctx, r.Resumes, f.service.Name)
	f.Metrics.OriginFound(source)
	f.record(stepOrigin, string(source), "resumes", r.Resumes, "service", at.Service, "version", at.Release, "tookMillis", clock.Since(began).Milliseconds())
	if source == metrics.OriginUnknown {
		return false
	}
	f.origin.Store(&at)
	return true
}

// checkOrigin refuses a stream that its caller takes up if it is not known where it began, or its route
// no longer leads there. Its caller would get events of two releases.
func (g *generation) checkOrigin() *stepError {
	if !g.findOrigin(g.ctx) {
		return &stepError{why: reason.VersionUnknown, detail: "the version at which the stream began is not known"}
	}
	began := g.origin.Load()
	if began == nil || began.Service == g.service.Name {
		return nil
	}
	if service := g.View.Table().Services[began.Service]; service != nil && g.route.SendsTo(began.Service) {
		g.service = service
		return nil
	}
	return &stepError{why: reason.VersionGone, detail: "the stream began at service " + began.Service}
}

// atOrigin returns the servers at which the stream may continue: those of the release at which it began,
// or all if its caller has no event yet.
func (f *flow) atOrigin(servers *Servers, backends []*table.BackendView) []*table.BackendView {
	began := f.origin.Load()
	if began == nil {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), func(b *table.BackendView) bool { return !servers.isAt(b, began) })
}

// beginsAt returns the servers at which a stream may begin that its caller may take up, and the time until
// it may begin at another one. It returns all servers for a stream that has begun, and for other requests.
func (f *flow) beginsAt(servers *Servers, backends []*table.BackendView) (fitting []*table.BackendView, after time.Duration) {
	if f.request.Generation == nil || f.route.Repeat != table.RepeatResume || f.origin.Load() != nil {
		return backends, 0
	}
	may := make(map[origin.Origin]bool, 1)
	for _, backend := range backends {
		at, known := servers.originOf(backend)
		if _, checked := may[at]; known && !checked {
			wait, open := f.Origins.MayBegin(at)
			if may[at] = open; !open && (after == 0 || wait < after) {
				after = wait
			}
		}
		if may[at] {
			fitting = append(fitting, backend)
		}
	}
	return fitting, after
}

// originOf returns the origin of streams that begin at a server.
func (s *Servers) originOf(backend *table.BackendView) (at origin.Origin, known bool) {
	entry := s.ByRun[backend.Name]
	if entry == nil {
		return origin.Origin{}, false
	}
	return origin.Origin{Service: entry.Service, Release: entry.Release}, true
}

// isAt reports whether a server runs the release at which a stream began.
func (s *Servers) isAt(backend *table.BackendView, began *origin.Origin) bool {
	at, known := s.originOf(backend)
	return known && at == *began
}

// isOriginClear reports whether it is certain at which release the stream began. It is not if the server
// has started again under its id with another release: the list may have shown the former run when the
// stream began.
func (f *flow) isOriginClear(servers *Servers) bool {
	if f.beganAt == nil {
		return true
	}
	now := servers.ByID[f.beganAt.ID]
	return now == nil || now.Run() == f.beganAt.Run() || now.Release == f.beganAt.Release
}

// hasOriginElsewhere reports whether an engine other than the last one runs the release at which the
// stream began, if it has begun.
func (g *generation) hasOriginElsewhere() bool {
	servers := g.View.Servers()
	if g.origin.Load() == nil {
		return true
	}
	return g.isOriginClear(servers) && slices.ContainsFunc(g.atOrigin(servers, servers.Decode[g.service.Name]), func(b *table.BackendView) bool { return b.Name != g.decode.Name })
}

// recordOrigin records where the stream began, and counts its continuation at the same or another
// release.
func (r *relay) recordOrigin() {
	at := origin.Origin{Service: r.service.Name, Release: r.entry(r.decode).Release}
	began := r.origin.Load()
	if began == nil {
		r.beganAt = r.entry(r.decode)
		r.origin.Store(&at)
		r.continuedBy = ""
	}
	if r.events == 0 && r.route.Repeat == table.RepeatResume {
		r.Origins.Began(cmp.Or(r.request.firstRequest(), r.request.ID), at, r.decode.Name, r.request.Deadline)
	}
	if r.continuedBy == "" {
		return
	}
	match := metrics.SameRelease
	if *began != at {
		match = metrics.OtherRelease
	}
	r.Metrics.StreamContinued(r.continuedBy, match)
	r.record(stepContinue, string(match), "how", string(r.continuedBy), "began", began.Release, "version", at.Release)
	r.alwaysLog = r.alwaysLog || match == metrics.OtherRelease
	r.continuedBy = ""
}
