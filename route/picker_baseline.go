package route

import (
	"slices"
	"sync/atomic"
)

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

// fasterOfTwo selects the better of two candidates that are drawn with probabilities in
// proportion to their speeds. With equal probabilities, a pair of slow servers is drawn as often
// as a pair of fast ones, which gives the slow ones more requests than they can serve.
func fasterOfTwo(hash uint64, rated []ScoredCandidate) int {
	total := 0.0
	for i := range rated {
		total += rated[i].relative()
	}
	draw := func(random uint32, without int) int {
		left := total
		if without >= 0 {
			left -= rated[without].relative()
		}
		left *= float64(random) / (1 << 32)
		drawn := -1
		for i := range rated {
			if i == without {
				continue
			}
			drawn = i
			if left -= rated[i].relative(); left < 0 {
				break
			}
		}
		return drawn
	}
	one := draw(uint32(hash), -1)
	other := draw(uint32(hash>>32), one)
	if rated[other].Total > rated[one].Total {
		return other
	}
	return one
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
	if slices.ContainsFunc(rated, func(r ScoredCandidate) bool { return r.Speed.Rated() }) {
		return fasterOfTwo(hash, rated)
	}
	// The second candidate always differs from the first, so the better of two
	// candidates is selected.
	other := (one + 1 + int((hash>>32)%uint64(len(rated)-1))) % len(rated)
	if rated[other].Total > rated[one].Total {
		return other
	}
	return one
}
