package route

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/forecast"
	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/table"
)

// Query is what a decision needs to know about a request.
type Query struct {
	RequestID    string
	Zone         string
	PromptTokens int
	// Pieces is the request's memory at a decode engine, in memory pieces (the unit of
	// KV cache memory, 2,000 tokens).
	Pieces int
	// MemoryTokens is the KV memory that the request needs at a decode engine. Spare
	// is the fraction of the engine's memory that must stay free beside it.
	MemoryTokens int
	Spare        float64
	// Forecast, if set, decides whether an engine's memory suffices, in place of MemoryTokens and
	// Spare.
	Forecast MemoryForecast
	// Prefixes are hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// Exclude names servers on which earlier attempts (an attempt is one try of a
	// request) failed.
	Exclude []string
	// Partner is the other server of the prefill and decode pair; nil until it is
	// selected.
	Partner *table.BackendView
	Now     time.Time
	// Work describes what is to be sent to the server.
	Work backpressure.Work
}

// MemoryForecast decides by a forecast whether a decode engine can take a request.
type MemoryForecast interface {
	// StartTokens returns the KV memory that must be free at an engine as soon as the request starts there.
	StartTokens() int
	Admission(c Candidate) forecast.Admission
}

// Candidate is one backend server under consideration.
type Candidate struct {
	Backend *table.BackendView
	Server  *Server
}

// Filter drops candidates that must not be used.
type Filter interface {
	Name() string
	Keep(q *Query, c Candidate) bool
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Name() string
	Score(q *Query, c Candidate) float64
}

// WeightedScorer is a scorer with its weight in the total.
type WeightedScorer struct {
	Scorer
	Weight float64
}

// Picker selects one of the rated candidates.
type Picker interface {
	Name() string
	// Pick returns an index into rated, which is never empty.
	Pick(q *Query, rated []ScoredCandidate) int
}

// ScorerScore is the score that one scorer gave.
type ScorerScore struct {
	Scorer string  `json:"scorer"`
	Score  float64 `json:"score"`
}

// ScoredCandidate is one candidate with its filter result and its scores.
type ScoredCandidate struct {
	Candidate `json:"-"`
	Name      string `json:"name"`
	// DroppedBy names the filter that dropped the candidate; empty if it was kept.
	DroppedBy string        `json:"dropped_by,omitempty"`
	Parts     []ScorerScore `json:"parts,omitempty"`
	Total     float64       `json:"total"`
	// Speed is set if the speeds of the service's servers differ.
	Speed SeenSpeed `json:"speed,omitzero"`
}

// Decision is the result of a selection with the filter results and scores that led to
// it.
type Decision struct {
	// Selected is the selected candidate; nil if all candidates were dropped.
	Selected *ScoredCandidate `json:"-"`
	// Pick is the name of the selected candidate, for the encoded decision.
	Pick   string            `json:"pick,omitempty"`
	Picker string            `json:"picker"`
	Rated  []ScoredCandidate `json:"rated"`
}

// Profile is a scheduling profile: the filters, scorers and picker that select a server
// for one kind of request.
type Profile struct {
	Filters []Filter
	// Avoid holds filters that apply unless they would drop all candidates.
	Avoid []Filter
	// Speed is the kind of work for which the server is selected; none if speeds have no
	// influence.
	Speed   speed.Kind
	Scorers []WeightedScorer
	Picker  Picker
}

// Decide runs the profile over the backend servers of a pool. Candidates that were
// kept come first in Decision.Rated.
func (p *Profile) Decide(q *Query, fleet *Fleet, pool []*table.BackendView) Decision {
	decision := Decision{Picker: p.Picker.Name(), Rated: make([]ScoredCandidate, 0, len(pool))}
	dropped := make([]ScoredCandidate, 0, len(pool))
	parts := make([]ScorerScore, 0, len(pool)*len(p.Scorers))
	for _, backend := range pool {
		candidate := Candidate{Backend: backend, Server: fleet.Server(backend.Name)}
		rated := ScoredCandidate{Candidate: candidate, Name: backend.Name}
		if rated.DroppedBy = p.filter(q, candidate); rated.DroppedBy != "" {
			dropped = append(dropped, rated)
			continue
		}
		decision.Rated = append(decision.Rated, rated)
	}
	if q.Forecast != nil {
		dropByForecast(q, decision.Rated)
	}
	passed := decision.Rated
	decision.Rated = decision.Rated[:0]
	for _, rated := range passed {
		if rated.DroppedBy != "" {
			dropped = append(dropped, rated)
			continue
		}
		rated.Speed = seenSpeed(p.Speed, rated.Server, q.Now)
		first := len(parts)
		for _, scorer := range p.Scorers {
			part := ScorerScore{Scorer: scorer.Name(), Score: scorer.Score(q, rated.Candidate)}
			rated.Total += part.Score * scorer.Weight
			parts = append(parts, part)
		}
		rated.Parts = parts[first:len(parts):len(parts)]
		decision.Rated = append(decision.Rated, rated)
	}
	kept := p.avoid(q, decision.Rated, dropped[len(dropped):])
	decision.Rated = append(decision.Rated, dropped...)
	if kept > 0 {
		decision.Selected = &decision.Rated[p.Picker.Pick(q, decision.Rated[:kept])]
		decision.Pick = decision.Selected.Name
	}
	return decision
}

// avoid moves the candidates that should be avoided behind the others and returns the number
// of the others. If all should be avoided, all stay. It needs an empty buffer with a capacity for
// all candidates.
func (p *Profile) avoid(q *Query, rated, buffer []ScoredCandidate) (kept int) {
	if len(p.Avoid) == 0 {
		return len(rated)
	}
	avoided := buffer
	for _, one := range rated {
		if one.DroppedBy = firstDrop(p.Avoid, q, one.Candidate); one.DroppedBy != "" {
			avoided = append(avoided, one)
			continue
		}
		rated[kept] = one
		kept++
	}
	if kept == 0 {
		return len(rated)
	}
	copy(rated[kept:], avoided)
	return kept
}

// firstDrop returns the name of the first filter that drops the candidate.
func firstDrop(filters []Filter, q *Query, c Candidate) string {
	for _, f := range filters {
		if !f.Keep(q, c) {
			return f.Name()
		}
	}
	return ""
}

// filter returns the name of the first filter that drops the candidate.
func (p *Profile) filter(q *Query, c Candidate) string {
	if c.Server == nil {
		return "not_in_fleet"
	}
	return firstDrop(p.Filters, q, c)
}

func excluded(q *Query, name string) bool { return slices.Contains(q.Exclude, name) }
