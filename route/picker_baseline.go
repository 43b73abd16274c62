package route

import "sync/atomic"

// The pickers of the baselines that mastwheel is compared with.

// RandomPicker selects a candidate by a hash of the request id.
type RandomPicker struct{}

// Name implements Picker.
func (RandomPicker) Name() string { return "random" }

// Pick implements Picker.
func (RandomPicker) Pick(q *Query, rated []ScoredCandidate) int {
	return int(pairHash(q.RequestID, rated[0].Name) % uint64(len(rated)))
}

// RoundRobinPicker selects candidates in turn.
type RoundRobinPicker struct{ next atomic.Uint64 }

// Name implements Picker.
func (*RoundRobinPicker) Name() string { return "round_robin" }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Query, rated []ScoredCandidate) int {
	return int(p.next.Add(1) % uint64(len(rated)))
}

// TwoChoicesPicker selects the better of two candidates drawn at random
// (Mitzenmacher, 2001).
type TwoChoicesPicker struct{}

// Name implements Picker.
func (TwoChoicesPicker) Name() string { return "two_choices" }

// Pick implements Picker.
func (TwoChoicesPicker) Pick(q *Query, rated []ScoredCandidate) int {
	hash := pairHash(q.RequestID, rated[0].Name)
	one := int(hash % uint64(len(rated)))
	if len(rated) == 1 {
		return one
	}
	// The second candidate always differs from the first, so the better of two
	// candidates is selected.
	other := (one + 1 + int((hash>>32)%uint64(len(rated)-1))) % len(rated)
	if rated[other].Total > rated[one].Total {
		return other
	}
	return one
}
