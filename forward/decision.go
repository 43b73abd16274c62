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

// decision is one step that was decided for a request, with what decided it.
type decision struct {
	at   time.Time
	step string
	// outcome is what was decided.
	outcome string
	inputs  []any
	// rated is what a choice of server saw; nil for other steps.
	rated []route.Rated
	// by is the picture of the servers that it was made by.
	by *Servers
	// age is how long before it the newest picture was last known to be current.
	age time.Duration
	// newest is the position of the newest picture that the instance had then.
	newest oplog.Position
}

// Steps of a request, as they stand in the log.
const (
	stepAdmit    = "admit"
	stepAllot    = "allot"
	stepEstimate = "estimate"
	stepChoose   = "choose"
	stepReserve  = "reserve"
	stepRead     = "read"
	stepDecode   = "decode"
	stepCall     = "call"
	stepRetry    = "retry"
	stepStream   = "stream"
	stepMove     = "move"
)

// decide notes a step for the request's log lines.
func (f *flow) decide(step, outcome string, inputs ...any) {
	f.note(decision{at: clock.Now(), step: step, outcome: outcome, inputs: inputs})
}

// note keeps a decision with the picture of the servers that it was made by.
func (f *flow) note(made decision) {
	made.by = f.servers
	made.age = made.at.Sub(f.View.Confirmed())
	made.newest = f.View.Servers().Position
	f.decisions = append(f.decisions, made)
}

// resultOf is the outcome of a step that a server answered.
func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// logOneIn is how many served requests stand for one in the log. Requests that
// were not served are all logged, up to the limit of lines.
const logOneIn = 50

// logged says whether a request is written to the log.
func (f *flow) logged(outcome reason.Outcome) bool {
	if outcome == reason.Done && !bool(klog.V(logServed).Enabled()) && xxhash.Sum64String(f.request.ID)%logOneIn != 0 {
		return false
	}
	if f.lines.Allow(clock.Now()) {
		return true
	}
	f.Metrics.Withheld()
	return false
}

// log writes a line for each decision of a request, and one for its end.
func (f *flow) log(service string, outcome reason.Outcome, status int, why reason.Reason, detail string) {
	if !f.logged(outcome) {
		return
	}
	for i := range f.decisions {
		f.decisions[i].log(f)
	}
	fields := []any{
		"request", f.request.ID, "service", service, "outcome", outcome, "status", status, "reason", why,
		"servers", f.path, "tookMillis", clock.Since(f.request.Arrived).Milliseconds(),
	}
	if f.route != nil {
		fields = append(fields, "route", f.route.Name)
	}
	if f.team != nil {
		fields = append(fields, "team", f.team.Name)
	}
	if outcome == reason.Unknown {
		fields = append(fields, "fingerprints", f.fingerprints().String())
	}
	if detail != "" {
		fields = append(fields, "detail", detail)
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
		fields = append(fields, "candidates", candidates(d.rated))
	}
	fields = append(fields, "revision", f.revision, "listPosition", d.by.Position, "listNewest", d.newest,
		"listAgeMillis", d.age.Milliseconds())
	klog.InfoS("Decided", fields...)
}

// candidates writes what a choice saw: each server with its score, or with the
// filter that dropped it.
func candidates(rated []route.Rated) string {
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
	}
	return text.String()
}
