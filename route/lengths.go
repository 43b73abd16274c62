package route

import (
	"math"
	"sync"
)

// Lengths corrects callers' guesses at the length of their answers. A guess is right
// at the median over all guesses, but the longest guesses are mostly too long and the
// shortest too short. The expected length therefore lies between the guess and the
// mean of all guesses. The less the guesses vary beyond their own error, the nearer
// it lies to the mean (regression towards the mean; with a known error this is
// Stein's estimate). Safe for concurrent use.
type Lengths struct {
	mu    sync.Mutex
	count float64
	// mean is the mean of the guesses' logarithms. squares is the sum of their
	// squared distances from it (Welford, 1962).
	mean    float64
	squares float64
}

const (
	// guessError is the standard deviation of the logarithm of a guess's error (source:
	// the reference workload).
	guessError = 0.5
	// minGuesses is how many guesses must be known before they are corrected towards
	// their mean. With ten guesses, the mean is off by 0.25 of the logarithm.
	minGuesses = 10
	// minGuessWeight is the least weight of the guess itself, for guesses that vary
	// less than their error implies. It is half of the weight that guesses have in the
	// reference workload.
	minGuessWeight = 0.3
)

// ExpectedTokens records a guess and returns how many tokens to expect, at the median.
func (l *Lengths) ExpectedTokens(tokens int) int {
	guess := math.Log(float64(max(tokens, 1)))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	off := guess - l.mean
	l.mean += off / l.count
	l.squares += off * (guess - l.mean)
	if l.count < minGuesses {
		return tokens
	}
	return int(math.Exp(l.mean + l.guessWeight()*(guess-l.mean)))
}

// guessWeight returns the weight of a guess against the mean of all guesses. The
// caller holds the lock.
func (l *Lengths) guessWeight() float64 {
	variance := l.squares / l.count
	if variance == 0 {
		return 1
	}
	return max(1-guessError*guessError/variance, minGuessWeight)
}
