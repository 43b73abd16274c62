package forward

import (
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// Allotments decides how much of what a team may use is left, over all instances.
type Allotments interface {
	// Admit counts a request of a team if it may be served.
	Admit(team string, cost float64, now time.Time) allotment.Decision
	// Return gives back what was counted for a request that never ran.
	Return(team string, cost float64, now time.Time)
}

// authenticate finds the team that a request is for; it ends one that shows no key of the
// table. Which key it was stands in the log as the short digest that operators see.
func (f *flow) authenticate(view *table.View) *Reply {
	if !view.Keyed || f.route.Public {
		return nil
	}
	if !f.request.HasKey {
		return f.end(&Reply{Status: statusUnknownKey, Reason: reason.UnknownKey}, "no key")
	}
	team := view.Keys[f.request.Key]
	if team == nil {
		return f.end(&Reply{Status: statusUnknownKey, Reason: reason.UnknownKey}, "key "+f.request.Key.String())
	}
	f.team = team
	f.request.Team = team.Name
	return nil
}

// charge counts a request against its team's allotment; it ends one that is beyond it.
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
	made := f.Allotments.Admit(f.team.Name, cost, now)
	if made.Admitted {
		f.charged, f.used = cost, made.Used
		return nil
	}
	f.decide(stepAllot, "over", "team", made.Team, "cost", made.Cost, "left", int(made.Left), "share", made.Share, "knownMillis", made.Known.Milliseconds())
	// Those who were refused together do not return together.
	wait := made.Wait + time.Duration(f.Random()*float64(f.config.AllotmentSpread))
	return f.end(&Reply{Status: statusOverLimit, Reason: reason.OverAllotment, RetryAfter: max(wait, f.config.AllotmentSpread/2)}, "the team has used what it may")
}

// discharge gives back what was counted for a request that never ran.
func (f *flow) discharge(outcome reason.Outcome) {
	if f.charged > 0 && outcome == reason.NotRun {
		f.Allotments.Return(f.team.Name, f.charged, clock.Now())
	}
	f.charged = 0
}
