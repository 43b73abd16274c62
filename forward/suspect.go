package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// A caller may send the same request again and again, to any instance and under a new
// id each time, and each server that begins to run it crashes. So what broke off at a
// server that has ended is remembered by all instances together (package poison), and
// each arrival, each send and each repetition of a request is decided by that. Without,
// one such request ended 13 to 32 servers, and each took up to 24 other requests with
// it; with it, three (platform.TestOneRequestEndsFewServers).

// fingerprints tell whether the same request was sent before. They are made only for
// requests that need them: the body may have megabytes.
func (f *flow) fingerprints() poison.Fingerprints {
	if f.prints == (poison.Fingerprints{}) {
		r := f.request
		f.prints = poison.Identity{Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}.Fingerprints()
	}
	return f.prints
}

// errPoison is the error of a step that was not taken since the request crashes
// servers.
var errPoison = errors.New("servers have ended under earlier attempts of the same request")

// admit ends a request at once that is not to be sent to servers; nil lets it go on. Its
// caller is told 502, not 503: the request has run, and to come back would not help.
func (f *flow) admit() *Reply {
	if !f.Poison.Suspicious() {
		return nil
	}
	admission := f.Poison.Admit(f.fingerprints(), clock.Now())
	f.admission = admission
	if admission.Decision == poison.Run {
		return nil
	}
	f.decide(stepAdmit, string(admission.Decision), "fingerprint", admission.Request.String(), "state", admission.State,
		"crashes", admission.Crashes, "tied", admission.Tied, "probes", admission.Probes)
	switch admission.Decision {
	case poison.Refuse:
		return f.fail(reason.CrashesServers, errPoison.Error())
	case poison.Wait:
		return f.refuse(reason.ProbeUnderWay, "the same request, which may crash servers, is being probed")
	}
	return nil
}

// probed says whether this is the one run of a request that may crash the server.
func (f *flow) probed() bool { return f.admission.Decision == poison.Probe }

// blocked says whether the request has turned out to crash servers since it was
// admitted.
func (f *flow) blocked() bool {
	return f.Poison.Suspicious() && f.admission.State != poison.Blocked && f.Poison.State(f.fingerprints()) == poison.Blocked
}

// mayRepeat says whether a request that broke off may be sent to one more server.
func (f *flow) mayRepeat() bool {
	return !f.Poison.Remembers() || f.Poison.MayRepeat(f.fingerprints())
}

// completed notes that a server took the request to an end.
func (f *flow) completed() {
	if f.Poison.Remembers() {
		f.Poison.Completed(f.fingerprints(), clock.Now())
	}
}

// broke notes that the request broke off at a server, and finds out whether that has
// ended.
func (f *flow) broke(at *route.Rated) {
	entry := f.entry(at)
	if f.Poison.Broke(entry.Run(), f.fingerprints(), f.sent, clock.Now()) {
		f.cleanup(func(ctx context.Context) { f.findEnd(ctx, entry) })
	}
}

// endChecks are the pauses before the looks at whether a server has ended: a process that
// crashes loses its connections a little before its address refuses new ones, and is back
// 0.6 s later at the earliest (source: the stand-in of the platform; the users say some
// seconds).
var endChecks = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// findEnd notes if a server has ended, not only closed a connection.
func (g *Gateway) findEnd(ctx context.Context, entry *registry.Entry) {
	for _, pause := range endChecks {
		if !wait.For(ctx, pause) {
			return
		}
		why := ""
		switch {
		case g.View.Servers().Restarted(entry):
			why = "it has started again"
		case g.Backends.HasEnded(ctx, entry):
			why = "its address refuses connections"
		default:
			continue
		}
		klog.InfoS("Server ended with requests running", "server", entry.Run(), "service", entry.Service, "address", entry.Address, "why", why)
		g.Metrics.ServerEnded(entry.Service)
		g.Poison.Crashed(entry.Run(), clock.Now())
		return
	}
}

// fewestLost picks, among the servers that were kept, the one where the fewest other
// requests are lost if it ends.
func fewestLost(rated []route.Rated) *route.Rated {
	var best *route.Rated
	fewest := 0
	for i := range rated {
		one := &rated[i]
		if one.DroppedBy != "" {
			continue
		}
		running := one.Server.InFlight() + one.Server.Others().InFlight
		if best == nil || running < fewest {
			best, fewest = one, running
		}
	}
	return best
}
