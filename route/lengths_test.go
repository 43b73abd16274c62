package route

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestFewGuessesStayUnchanged(t *testing.T) {
	var lengths Lengths
	for _, guess := range []int{10, 5000, 1, 900} {
		if got := lengths.ExpectedTokens(guess); got != guess {
			t.Errorf("%d became %d", guess, got)
		}
	}
}

func TestEqualGuessesStayUnchanged(t *testing.T) {
	var lengths Lengths
	for range 3 * minGuesses {
		if got := lengths.ExpectedTokens(700); got < 699 || got > 700 {
			t.Fatalf("700 became %d", got)
		}
	}
}

// The logarithm of lengths has a standard deviation of 0.6, and the logarithm of
// guesses' errors one of guessError, as in the reference workload.
func TestExpectedLengthIsCloserThanGuess(t *testing.T) {
	var lengths Lengths
	random := rand.New(rand.NewPCG(3, 4))
	guessOff, expectedOff := 0.0, 0.0
	for range 5000 {
		length := math.Exp(8 + 0.6*random.NormFloat64())
		guess := length * math.Exp(guessError*random.NormFloat64())
		expected := lengths.ExpectedTokens(int(guess))
		guessOff += math.Pow(math.Log(guess/length), 2)
		expectedOff += math.Pow(math.Log(float64(expected)/length), 2)
	}
	// In theory the guesses' error is 0.25, and that of expected lengths 0.25 * 0.36
	// / 0.61.
	if ratio := expectedOff / guessOff; ratio < 0.55 || ratio > 0.65 {
		t.Errorf("the squared error is %.2f times that of the guesses", ratio)
	}
}

func TestZeroGuessesAreHarmless(t *testing.T) {
	var lengths Lengths
	for i := range 100 {
		if got := lengths.ExpectedTokens(i % 2 * 1000); got < 0 {
			t.Fatalf("expected %d", got)
		}
	}
}
