package route

import (
	"math"
	"sync"
)

// Sizes learns how much KV memory the requests of a service need, and how far
// what they generate is off from what was expected. Safe for concurrent use.
type Sizes struct {
	mu    sync.Mutex
	asked float64
	// need and expected are means: the memory reserved for a request, and the
	// tokens that it was expected to generate.
	need     float64
	expected float64
	// ended counts the requests that ended, and squares is the mean of the
	// squares of generated less expected tokens.
	ended   float64
	squares float64
}

const (
	// sizesRemembered is over how many requests the means are taken: some ten
	// seconds of a service's traffic at one instance.
	sizesRemembered = 100
	// fewEnded is how many requests must have ended before their spread stands
	// in place of the error of callers' guesses.
	fewEnded = 20
	// outgrowDeviations is how many standard deviations of what the requests of
	// an engine generate stay free: one engine in twenty outgrows it (the normal
	// distribution's 95 in 100). With 0.8 in its place, days with trouble and
	// calm ones were worth 0.013 less where answers are as long as prompts, and
	// 0.004 more where they are a fifth as long (33 and 18 days of fixed seeds).
	outgrowDeviations = 1.645
)

// Asked takes in a request that needs so much memory and is expected to
// generate so many tokens.
func (s *Sizes) Asked(need, expected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = min(s.asked+1, sizesRemembered)
	s.need += (float64(need) - s.need) / s.asked
	s.expected += (float64(expected) - s.expected) / s.asked
}

// Ended takes in a request that ended by itself.
func (s *Sizes) Ended(expected, generated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = min(s.ended+1, sizesRemembered)
	off := float64(generated - expected)
	s.squares += (off*off - s.squares) / s.ended
}

// Need returns the mean memory that a request needs, in tokens; 0 before any
// was asked for.
func (s *Sizes) Need() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.need
}

// Spare returns the part of an engine's memory that is to stay free for
// requests that outgrow what was expected of them: once one must be preempted,
// the reading of its prompt holds up all others of its engine. The sum of n
// independent errors spreads as their root.
func (s *Sizes) Spare(memory int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if memory <= 0 || s.need <= 0 {
		return 0
	}
	spread := guessError * s.expected
	if s.ended >= fewEnded {
		spread = math.Sqrt(s.squares)
	}
	requests := float64(memory) / s.need
	return outgrowDeviations * spread * math.Sqrt(requests) / float64(memory)
}
