package route

import (
	"math"
	"sync"
)

// Sizes estimates how much KV memory the requests of a service need, and how far the
// number of tokens that they generate is off from the expected number. Safe for
// concurrent use.
type Sizes struct {
	mu      sync.Mutex
	started float64
	// memory and expected are means: the memory reserved for a request, and the
	// tokens that it was expected to generate.
	memory   float64
	expected float64
	// ended counts the requests that ended. meanSquaredError is the mean of the
	// squared differences of generated and expected tokens.
	ended            float64
	meanSquaredError float64
}

const (
	// sizesWindow is the number of requests over which the means are taken: about ten
	// seconds of a service's traffic at one instance.
	sizesWindow = 100
	// minEnded is how many requests must have ended before their spread replaces the
	// error of callers' guesses.
	minEnded = 20
	// spareDeviations is the memory that stays free at an engine, in standard deviations of the
	// number of tokens that its requests generate. The requests of one engine in twenty outgrow
	// it (the normal distribution's 95 in 100). A value of 0.8 lowers the score of a simulated
	// day of the reference workload by 0.013 where answers are as long as prompts, and raises it
	// by 0.004 where they are a fifth as long.
	spareDeviations = 1.645
)

// RecordStart records a request that needs so much memory and is expected to generate so
// many tokens.
func (s *Sizes) RecordStart(need, expected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = min(s.started+1, sizesWindow)
	s.memory += (float64(need) - s.memory) / s.started
	s.expected += (float64(expected) - s.expected) / s.started
}

// RecordEnd records a request whose answer was complete.
func (s *Sizes) RecordEnd(expected, generated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = min(s.ended+1, sizesWindow)
	difference := float64(generated - expected)
	s.meanSquaredError += (difference*difference - s.meanSquaredError) / s.ended
}

// Need returns the mean memory that a request needs, in tokens; 0 before the first
// request.
func (s *Sizes) Need() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory
}

// Spare returns the fraction of an engine's memory that must stay free for requests
// that outgrow their expected length. Once a request must be preempted, the reading of
// its prompt delays all other requests of its engine. The sum of n independent errors
// spreads as the square root of n.
func (s *Sizes) Spare(memory int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if memory <= 0 || s.memory <= 0 {
		return 0
	}
	spread := guessError * s.expected
	if s.ended >= minEnded {
		spread = math.Sqrt(s.meanSquaredError)
	}
	requests := float64(memory) / s.memory
	return spareDeviations * spread * math.Sqrt(requests) / float64(memory)
}
