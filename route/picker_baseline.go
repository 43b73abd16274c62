package route

import "sync/atomic"

// The pickers of the baselines that mastwheel is measured against.

// RandomPicker takes any candidate.
type RandomPicker struct{}

// Name implements Picker.
func (RandomPicker) Name() string { return "random" }

// Pick implements Picker.
func (RandomPicker) Pick(q *Query, rated []Rated) int {
	return int(pairHash(q.RequestID, rated[0].Name) % uint64(len(rated)))
}

// RoundRobinPicker takes candidates in turn.
type RoundRobinPicker struct{ next atomic.Uint64 }

// Name implements Picker.
func (*RoundRobinPicker) Name() string { return "round_robin" }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Query, rated []Rated) int {
	return int(p.next.Add(1) % uint64(len(rated)))
}

// TwoChoicesPicker takes the better of two drawn at random (Mitzenmacher,
// 2001).
type TwoChoicesPicker struct{}

// Name implements Picker.
func (TwoChoicesPicker) Name() string { return "two_choices" }

// Pick implements Picker.
func (TwoChoicesPicker) Pick(q *Query, rated []Rated) int {
	hash := pairHash(q.RequestID, rated[0].Name)
	one := int(hash % uint64(len(rated)))
	if len(rated) == 1 {
		return one
	}
	// Another than the first: of two candidates the better is taken.
	other := (one + 1 + int((hash>>32)%uint64(len(rated)-1))) % len(rated)
	if rated[other].Total > rated[one].Total {
		return other
	}
	return one
}
