package forward

import (
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// Allotments decides how much of its allotment a team has left, over all instances.
type Allotments interface {
	// Admit counts a request of a team if it may be served.
	Admit(request allotment.Request, now time.Time) allotment.Decision
	// Refund refunds the cost of a request that never ran.
	Refund(team string, cost float64, now time.Time)
}

// authenticate finds the team that a request belongs to, and ends a request whose API key is
// missing or not in the table. The log shows the key as the short key digest that operators
// see.
func (f *flow) authenticate(view *table.View) *Reply {
	if !view.Keyed || f.route.Public {
		return nil
	}
	if !f.request.HasKey {
		return f.end(&Reply{Status: statusUnknownKey, Reason: reason.UnknownKey}, "the request has no API key")
	}
	team := view.Keys[f.request.Key]
	if team == nil {
		return f.end(&Reply{Status: statusUnknownKey, Reason: reason.UnknownKey}, "key "+f.request.Key.String()+view.LeftOutNote(table.Team))
	}
	f.team = team
	f.request.Team = team.Name
	return nil
}

// charge counts a request against its team's allotment, and ends a request that exceeds it.
func (f *flow) charge() *Reply {
	if f.team == nil || f.team.Allotment.Rate == 0 {
		return nil
	}
	tokens := 0
	if f.request.Generation != nil {
		tokens = f.request.Generation.PromptTokens + f.request.Generation.MaxTokens
	}
	cost := float64(f.team.Allotment.Cost(tokens, f.request.Generation != nil))
	now := clock.Now()
	made := f.Allotments.Admit(allotment.Request{
		Team: f.team.Name, Cost: cost, Class: f.class(), MaxWait: time.Duration(float64(f.deadline.Sub(now)) * maxReturn),
	}, now)
	f.Metrics.AllotmentDecided(made)
	if made.Admitted {
		f.charged, f.allotmentUsed = cost, made.Used
		if made.Probability < 1 {
			f.recordAllotment("admitted", made)
		}
		return nil
	}
	f.recordAllotment("over", made)
	return f.end(&Reply{Status: statusOverLimit, Reason: reason.OverAllotment, RetryAfter: f.allotmentReturn(made)}, "the team has used up its allotment")
}

// maxReturn is the part of a caller's remaining time that it waits for at most before it comes back.
const maxReturn = 1.0 / 3

// minReturn is the shortest delay, since a delay of 0 means that none is given.
const minReturn = time.Millisecond

// allotmentReturn returns the delay after which a caller that exceeds its team's allotment should come
// back.
func (f *flow) allotmentReturn(made allotment.Decision) time.Duration {
	if made.Scheduling {
		return max(made.Wait, minReturn)
	}
	// The random part keeps callers that were refused together from returning together.
	wait := made.Wait + time.Duration(f.Random()*float64(f.config.AllotmentSpread))
	return max(wait, f.config.AllotmentSpread/2)
}

// recordAllotment records a decision on the team's allotment.
func (f *flow) recordAllotment(outcome string, made allotment.Decision) {
	f.record(stepAllot, outcome, "team", made.Team, "cost", made.Cost, "left", int(made.Balance), "share", made.Share, "knownMillis", made.Known.Milliseconds(),
		"class", made.Class.String(), "probability", made.Probability, "source", made.Source, "ageMillis", made.Age.Milliseconds(),
		"waitMillis", made.Wait.Milliseconds(), "scheduled", made.Scheduled)
}

// class returns the class in which a request competes for its team's allotment.
func (f *flow) class() allotment.Class {
	return allotment.Class{
		Stream: f.request.Generation != nil, Priority: f.route.Priority, Late: f.isLate(),
	}
}

// refund returns the cost of a request that never ran to its team's allotment.
func (f *flow) refund(outcome reason.Outcome) {
	if f.charged > 0 && outcome == reason.NotRun {
		f.Allotments.Refund(f.team.Name, f.charged, clock.Now())
	}
	f.charged = 0
}
