package forward

import (
	"context"
	"slices"
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

// A caller may send the same request again and again, to any instance and under a new id each
// time, and each server that begins to run it crashes. Or requests that are never alike share a part of
// their prompts that crashes each engine which begins to write. All instances therefore share a record
// of the requests that broke off at servers that crashed (package poison). Each arrival, each
// send and each repetition of a request is checked against it. Without the record, one such
// request crashed 13 to 32 servers, and each crash broke off up to 24 other requests. With it,
// three servers crash (platform.TestOneRequestEndsFewServers).

// fingerprints returns the values that identify repetitions of the same request. They are
// computed only for requests that need them, because the body may be several megabytes long.
func (f *flow) fingerprints() poison.Fingerprints {
	if f.cachedFingerprints.OfCaller == 0 {
		r := f.request
		f.cachedFingerprints = poison.Identity{
			Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body, SharedParts: f.sharedParts(),
		}.Fingerprints()
	}
	return f.cachedFingerprints
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share.
func (f *flow) sharedParts() []string {
	if f.request.Generation == nil {
		return nil
	}
	return f.request.Generation.SharedParts
}

// errPoison is the error of a step that was skipped because the request crashes servers.
var errPoison = errors.New("servers crashed during earlier attempts of the same request, or under a part of its prompt")

// admit returns the reply that ends a request which must not be sent to servers; nil lets it
// continue. The caller gets status 502 and not 503, because the request has run and sending it
// again would not help.
func (f *flow) admit() *Reply {
	if !f.Poison.HasSuspects() {
		return nil
	}
	admission := f.Poison.Admit(f.fingerprints(), clock.Now())
	f.admission = admission
	if admission.Decision == poison.Run {
		return nil
	}
	f.record(stepAdmit, string(admission.Decision), "fingerprint", admission.Request.String(), "state", admission.State,
		"crashes", admission.Crashes, "tied", admission.Tied, "probes", admission.Probes)
	switch admission.Decision {
	case poison.Refuse:
		return f.fail(reason.CrashesServers, errPoison.Error())
	case poison.Wait:
		return f.refuse(reason.ProbeUnderWay, "the same request, which may crash servers, is being tested at one server")
	}
	return nil
}

// isProbe reports whether this is the single run that tests whether the request crashes
// servers.
func (f *flow) isProbe() bool { return f.admission.Decision == poison.Probe }

// blocked reports whether the request has been found to crash servers since it was admitted.
func (f *flow) blocked() bool {
	return f.Poison.HasSuspects() && f.admission.State != poison.Blocked && f.Poison.State(f.fingerprints()) == poison.Blocked
}

// mayRepeat reports whether a request that broke off may be sent to one more server.
func (f *flow) mayRepeat() bool {
	return !f.Poison.HasRecords() || f.Poison.MayRetry(f.fingerprints())
}

// recordCompleted records that a server ran the request to its end.
func (f *flow) recordCompleted() {
	if f.Poison.HasRecords() {
		f.Poison.Completed(f.fingerprints(), clock.Now())
	}
}

const (
	// survivedAfter is how long an engine must have written for a request to show that no part of its prompt
	// crashes engines, which they do within 0.12 s of when they begin to run it (source: incident 29).
	survivedAfter = time.Second
	// survivalInterval is the pause before a stream is recorded as surviving once more. Crashes elsewhere
	// meanwhile may have put its parts under suspicion.
	survivalInterval = 500 * time.Millisecond
)

// recordWriting records that the engine of a stream writes.
func (r *relay) recordWriting(now time.Time) {
	switch {
	case r.writingSince.IsZero():
		r.writingSince, r.nextSurvival = now, now.Add(survivedAfter)
	case now.Before(r.nextSurvival) || !r.Poison.HasRecords():
	default:
		r.nextSurvival = now.Add(survivalInterval)
		r.Poison.Survived(r.fingerprints().Parts, now)
	}
}

// recordBroken records that the request broke off at a server, and checks whether that server
// crashed.
func (f *flow) recordBroken(at *route.ScoredCandidate) {
	entry := f.entry(at)
	if f.Poison.ConnectionBroke(entry.Run(), f.fingerprints(), poison.BrokenRun{Sent: f.sentAt, Writing: f.writingSince}, clock.Now()) {
		f.cleanup(func(ctx context.Context) { f.detectCrash(ctx, entry) })
	}
}

// crashCheckDelays are the pauses before each check whether a server has crashed. A process
// that crashes loses its connections a little before its address refuses new ones, and is back
// after 0.6 s at the earliest (source: the stand-in of the platform; the service requirements
// say some seconds).
var crashCheckDelays = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// detectCrash records a crash if a server's process has exited and not only closed a
// connection.
func (g *Gateway) detectCrash(ctx context.Context, entry *registry.Entry) {
	for _, pause := range crashCheckDelays {
		if !wait.For(ctx, pause) {
			return
		}
		why := ""
		switch {
		case g.View.Servers().Restarted(entry):
			why = "it was restarted"
		case g.Backends.HasExited(ctx, entry) && g.reachesOthers(ctx, entry):
			why = "its address refuses connections"
		default:
			continue
		}
		klog.InfoS("Server process exited while it ran requests", "server", entry.Run(), "service", entry.Service, "address", entry.Address, "why", why)
		g.Metrics.ServerExited(entry.Service)
		g.Poison.Crashed(entry.Run(), clock.Now())
		return
	}
}

// minWitnesses is how many other servers a service must have for their silence to show that the links
// of this instance failed. Two servers may have crashed under the same request.
const minWitnesses = 2

// reachesOthers reports whether this instance reaches any other server of the service. If it does
// not, its own links failed rather than a server's process.
func (g *Gateway) reachesOthers(ctx context.Context, entry *registry.Entry) bool {
	others := slices.DeleteFunc(g.entriesOf(entry.Service), func(other *registry.Entry) bool { return other.Run() == entry.Run() })
	if len(others) < minWitnesses {
		return true
	}
	first := int(g.Random() * float64(len(others)))
	for i := range min(probeServers, len(others)) {
		if !g.Backends.HasExited(ctx, others[(first+i)%len(others)]) {
			return true
		}
	}
	return false
}

// fewestRunning returns the remaining candidate with the fewest requests in flight, so that
// the fewest other requests are lost if it crashes.
func fewestRunning(rated []route.ScoredCandidate) *route.ScoredCandidate {
	var best *route.ScoredCandidate
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
