package route

import (
	"math"
	"sync"
)

// Lengths learns what callers' guesses at the length of their answers are worth.
// A guess is right at the median over all of them, but the longest guesses are
// mostly too long and the shortest too short: what is expected lies between the
// guess and the mean of all guesses, the nearer to the mean, the less guesses
// vary beyond their own error (regression towards the mean; with a known error
// this is Stein's estimate). Safe for concurrent use.
type Lengths struct {
	mu    sync.Mutex
	count float64
	// mean and squares are of the guesses' logarithms: their mean, and the sum
	// of their squared distances from it (Welford, 1962).
	mean    float64
	squares float64
}

const (
	// guessError is the standard deviation of the logarithm of a guess's error
	// (source: the users' sheets).
	guessError = 0.5
	// fewGuesses is how many guesses must be known before they are drawn to
	// their mean: with ten, the mean is off by 0.25 of the logarithm.
	fewGuesses = 10
	// leastTrust is the least weight of the guess itself, for guesses that vary
	// less than their error would let them; half of what they are worth on the
	// users' sheets.
	leastTrust = 0.3
)

// Guessed takes a guess in and returns how many tokens to expect, at the median.
func (l *Lengths) Guessed(tokens int) int {
	guess := math.Log(float64(max(tokens, 1)))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	off := guess - l.mean
	l.mean += off / l.count
	l.squares += off * (guess - l.mean)
	if l.count < fewGuesses {
		return tokens
	}
	return int(math.Exp(l.mean + l.trust()*(guess-l.mean)))
}

// trust is the weight of a guess against the mean of all. The caller holds the
// lock.
func (l *Lengths) trust() float64 {
	variance := l.squares / l.count
	if variance == 0 {
		return 1
	}
	return max(1-guessError*guessError/variance, leastTrust)
}
