package forward

import (
	"slices"

	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/table"
)

// A stream of which the caller has events continues only at servers of the release that began it, since
// servers do not check this. That holds for the engine that decodes and for the one that reads the
// prompt again.

// atOrigin returns the servers at which the stream may continue: those of the release at which it began,
// or all if its caller has no event yet.
func (f *flow) atOrigin(servers *Servers, backends []*table.BackendView) []*table.BackendView {
	began := f.origin.Load()
	if began == nil {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), func(b *table.BackendView) bool { return !servers.isAt(b, began) })
}

// isAt reports whether a server runs the release at which a stream began.
func (s *Servers) isAt(backend *table.BackendView, began *origin.Origin) bool {
	entry := s.ByRun[backend.Name]
	return entry != nil && entry.Service == began.Service && entry.Release == began.Release
}

// hasOriginElsewhere reports whether an engine other than the last one runs the release at which the
// stream began, if it has begun.
func (g *generation) hasOriginElsewhere() bool {
	servers := g.View.Servers()
	return g.origin.Load() == nil || slices.ContainsFunc(g.atOrigin(servers, servers.Decode[g.service.Name]), func(b *table.BackendView) bool { return b.Name != g.decode.Name })
}

// recordOrigin records where the stream began, and counts its continuation at the same or another
// release.
func (r *relay) recordOrigin() {
	at := origin.Origin{Service: r.service.Name, Release: r.entry(r.decode).Release}
	began := r.origin.Load()
	if began == nil && !r.resumed {
		r.origin.Store(&at)
		r.continuedBy = ""
	}
	if r.continuedBy == "" {
		return
	}
	match := metrics.UnknownRelease
	release := ""
	if began != nil {
		match, release = metrics.SameRelease, began.Release
		if *began != at {
			match = metrics.OtherRelease
		}
	}
	r.Metrics.StreamContinued(r.continuedBy, match)
	r.record(stepContinue, string(match), "how", string(r.continuedBy), "began", release, "version", at.Release)
	r.alwaysLog = r.alwaysLog || match == metrics.OtherRelease
	r.continuedBy = ""
}
