package forward

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// decision is one decided step of a request, with the inputs of the decision.
type decision struct {
	at   time.Time
	step string
	// outcome is the result of the step.
	outcome string
	inputs  []any
	// rated holds the rated candidates of a server choice; nil for other steps.
	rated []route.ScoredCandidate
	// servers is the view of the servers that the decision used.
	servers *Servers
	// viewAge is the time from the moment the view was last known to be current until the
	// decision.
	viewAge time.Duration
	// newest is the log position of the newest view of the servers that the instance had then.
	newest oplog.Position
}

// Steps of a request, as they appear in the log.
const (
	stepAdmit    = "admit"
	stepAllot    = "allot"
	stepEstimate = "estimate"
	stepChoose   = "choose"
	stepReserve  = "reserve"
	stepRead     = "read"
	stepDecode   = "decode"
	stepSlots    = "slots"
	stepCall     = "call"
	stepRetry    = "retry"
	stepStream   = "stream"
	stepMove     = "move"
	stepContinue = "continue"
	stepOrigin   = "origin"
	stepHandOver = "hand_over"
	stepStop     = "stop"
)

// record adds a step to the request's log lines.
func (f *flow) record(step, outcome string, inputs ...any) {
	f.recordDecision(decision{at: clock.Now(), step: step, outcome: outcome, inputs: inputs})
}

// recordDecision adds a decision together with the view of the servers that it used.
func (f *flow) recordDecision(made decision) {
	made.servers = f.servers
	made.viewAge = made.at.Sub(f.View.Confirmed())
	made.newest = f.View.Servers().Position
	f.decisions = append(f.decisions, made)
}

// resultOf returns the outcome of a step that called a server.
func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// logOneIn is the sampling of served requests in the log: one in logOneIn is logged. All
// requests that were not served are logged, as far as logLimit and endedLimit allow.
const logOneIn = 50

// shouldLog reports whether the request is written to the log.
func (f *flow) shouldLog(outcome reason.Outcome) bool {
	if outcome == reason.Done && !f.alwaysLog && !bool(klog.V(logServedVerbosity).Enabled()) && xxhash.Sum64String(f.request.ID)%logOneIn != 0 {
		return false
	}
	limit := f.logLimit
	if f.endedBy != reason.NotEnded {
		limit = f.endedLimit
	}
	if limit.Allow(clock.Now()) {
		return true
	}
	f.Metrics.Withheld()
	return false
}

// log writes one line for each decision of the request and one for its end.
func (f *flow) log(service string, outcome reason.Outcome, status int, why reason.Reason, detail string) {
	if !f.shouldLog(outcome) {
		return
	}
	for i := range f.decisions {
		f.decisions[i].log(f)
	}
	fields := []any{
		"request", f.request.ID, "service", service, "outcome", outcome, "status", status, "reason", why,
		"servers", f.sentTo, "tookMillis", clock.Since(f.request.Arrived).Milliseconds(),
	}
	if f.route != nil {
		fields = append(fields, "route", f.route.Name)
	}
	if f.team != nil {
		fields = append(fields, "team", f.team.Name)
	}
	if f.unanswered > 0 {
		fields = append(fields, "unanswered", f.unanswered)
	}
	if f.request.HandedOver != "" {
		fields = append(fields, "handedOverBy", f.request.HandedOver)
	}
	if f.handedOverTo != "" {
		fields = append(fields, "handedOverTo", f.handedOverTo)
	}
	if outcome == reason.Unknown {
		fields = append(fields, "fingerprints", f.fingerprints().String())
		if parts := f.sharedParts(); len(parts) > 0 {
			fields = append(fields, "sharedParts", parts, "partFingerprints", f.fingerprints().PartNames())
		}
	}
	if f.endedBy != reason.NotEnded {
		fields = append(fields, "endedBy", f.endedBy, "cut", f.cut)
	}
	if stopping := f.Gateway.stopping.Load(); stopping != nil {
		fields = append(fields, "arrivedAfterStopMillis", f.request.Arrived.Sub(stopping.began).Milliseconds())
	}
	if detail != "" {
		fields = append(fields, "detail", detail)
	}
	if since := f.View.TableSince(); !since.IsZero() {
		fields = append(fields, "revisionAgeMillis", clock.Since(since).Milliseconds())
	}
	fields = append(fields, "revision", f.revision, "listPosition", f.servers.Position)
	klog.InfoS("Request ended", fields...)
}

func (d *decision) log(f *flow) {
	fields := []any{
		"request", f.request.ID, "step", d.step, "outcome", d.outcome,
		"atMillis", d.at.Sub(f.request.Arrived).Milliseconds(),
	}
	fields = append(fields, d.inputs...)
	if d.rated != nil {
		fields = append(fields, "candidates", formatCandidates(d.rated))
	}
	fields = append(fields, "revision", f.revision, "listPosition", d.servers.Position, "listNewest", d.newest,
		"listAgeMillis", d.viewAge.Milliseconds())
	klog.InfoS("Decided", fields...)
}

// formatCandidates formats the candidates of a choice: each server with its score, or with the
// filter that dropped it. Where the speeds of a service's servers differ, the score is followed
// by the relative speed, its number of samples and their age.
func formatCandidates(rated []route.ScoredCandidate) string {
	var text strings.Builder
	for i, one := range rated {
		if i > 0 {
			text.WriteByte(' ')
		}
		if one.DroppedBy != "" {
			fmt.Fprintf(&text, "%s:%s", one.Name, one.DroppedBy)
			continue
		}
		fmt.Fprintf(&text, "%s:%.3f", one.Name, one.Total)
		if one.Speed.Rated() {
			fmt.Fprintf(&text, "(%.2f,%d,%dms)", one.Speed.Relative, one.Speed.Samples, one.Speed.AgeMillis)
		}
	}
	return text.String()
}
