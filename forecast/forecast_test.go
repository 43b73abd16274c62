package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testPrompt   = 5200.0
	testExpected = 4300.0
	testMax      = 8970.0
	testRate     = 1370.0
	testCapacity = 70_932.0
)

var testModel = &Model{Typical: Typical{Prompt: testPrompt, Expected: testExpected, Max: testMax}}

func testStream(generated float64) Stream {
	return Stream{Answer: Answer{Generated: generated, Expected: testExpected, Max: testMax}, Prompt: testPrompt, Rate: testRate}
}

// A survival function that is not consistent in time would make the expected end of a stream
// depend on how often it is asked for.
func TestSurvivalIsConsistentInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Answer{
			Generated: rapid.Float64Range(0, 8000).Draw(t, "generated"),
			Expected:  rapid.Float64Range(10, 9000).Draw(t, "expected"), Max: 20_000,
		}
		first, second := rapid.Float64Range(0, 4000).Draw(t, "first"), rapid.Float64Range(0, 4000).Draw(t, "second")
		var l *Lengths
		one := l.Survival(a, first)
		both := l.Survival(a, first+second)
		if one < 0 || one > 1 || both > one+1e-9 {
			t.Fatalf("survival %v after %v tokens, %v after %v", one, first, both, first+second)
		}
		later := a
		later.Generated += first
		if prior.longer(later.Generated/a.Expected) < minTail {
			return
		}
		if chained := one * l.Survival(later, second); math.Abs(chained-both) > 1e-9 {
			t.Fatalf("survival of %v tokens is %v, and %v in two steps", first+second, both, chained)
		}
	})
}

// The remaining length is conditional: a stream that has run beyond its expected length is not
// about to end.
func TestRemainingLengthIsConditional(t *testing.T) {
	var l *Lengths
	left := func(generated float64) float64 {
		mean, _ := l.Remaining(Answer{Generated: generated, Expected: 1000})
		return mean
	}
	// The mean of a log-normal distribution with a median of 1000 and a spread of 0.5 is 1133.
	if got := left(0); math.Abs(got-1133) > 30 {
		t.Errorf("mean length %v", got)
	}
	if got := left(1500); got < 300 || got > 1133 {
		t.Errorf("%v tokens left after 1500 of 1000", got)
	}
	if mean, variance := l.Remaining(Answer{Generated: 900, Expected: 1000, Max: 900}); mean != 0 || variance != 0 {
		t.Errorf("%v tokens left at the maximum, variance %v", mean, variance)
	}
}

func TestLengthsAreLearned(t *testing.T) {
	var l *Lengths
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		l = l.With(1000, int(2000*math.Exp(0.1*random.NormFloat64())))
	}
	mean, variance := l.Remaining(Answer{Expected: 1000})
	if mean < 1850 || mean > 2150 || math.Sqrt(variance) > 350 {
		t.Errorf("mean %v, deviation %v", mean, math.Sqrt(variance))
	}
}

// Invalid observations must not put a value into the distribution that is not a number.
func TestEmptyAnswersAreNotLearned(t *testing.T) {
	var l *Lengths
	if got := l.With(0, 100).With(100, 0); got != prior {
		t.Error("an answer without tokens changed the distribution")
	}
}

func TestDeviationsWeighPreemptionAgainstRefusal(t *testing.T) {
	for delayed, want := range map[float64]float64{0: 0.70, 2: 0.70, 10: 1.74, 20: 2.05} {
		if got := Deviations(delayed); math.Abs(got-want) > 0.01 {
			t.Errorf("%v delayed streams: %v deviations, want %v", delayed, got, want)
		}
	}
	pause, target := 50*time.Millisecond, 300*time.Millisecond
	if got := Delayed(9, 8000, 27_000, pause, target); got != 9 {
		t.Errorf("a long pause delays %v of 9 streams", got)
	}
	if got := Delayed(9, 2700, 27_000, pause, target); math.Abs(got-5) > 1e-9 {
		t.Errorf("a pause of half the target delays %v of 9 streams", got)
	}
}

// Streams of a burst are all young. They hold little now and grow together.
func TestBurstOfYoungStreamsLeavesLessMemory(t *testing.T) {
	young, old := &Engine{Capacity: testCapacity, Rate: testRate}, &Engine{Capacity: testCapacity, Rate: testRate}
	for range 9 {
		young.Own = append(young.Own, testStream(1500))
		old.Own = append(old.Own, testStream(1500))
	}
	for i := range old.Own {
		old.Own[i].Expected = 800
	}
	now := func(e *Engine) float64 { c := testModel.Forecast(e); return c.Mean[0] }
	if now(young) != now(old) {
		t.Fatalf("the engines hold %v and %v", now(young), now(old))
	}
	if d := testModel.Admit(young, testStream(0), Deviations(9)); d.Fits {
		t.Errorf("fits beside streams that grow: %+v", d)
	}
	if d := testModel.Admit(old, testStream(0), Deviations(9)); !d.Fits {
		t.Errorf("does not fit beside streams that are about to end: %+v", d)
	}
}

// Sums of few streams say little about how far they have come: their prompts may be long.
func TestFewLongPromptsAreNotTakenForOldStreams(t *testing.T) {
	few := testModel.Typical.meanAge(Group{Count: 1, Memory: testPrompt + 4000})
	many := testModel.Typical.meanAge(Group{Count: 100, Memory: 100 * (testPrompt + 4000)})
	if few > 2000 || many < 3500 {
		t.Errorf("mean age %v of one stream, %v of a hundred", few, many)
	}
	if age := testModel.Typical.meanAge(Group{Count: 3, Memory: 10}); age < 0 || age > 10.0/3 {
		t.Errorf("age %v of streams that hold 10 tokens", age)
	}
}

// An engine whose streams are known as memory only, as from a move that is not complete.
func TestGroupWithoutCount(t *testing.T) {
	c := testModel.Forecast(&Engine{Others: Group{Memory: 3000}, Rate: testRate})
	if c.Mean[0] != 3000 || c.Mean[Points-1] != 3000 {
		t.Errorf("mean %v", c.Mean)
	}
}

// The memory must stay under the highest point of the forecast about as often as stated: nine times
// in ten where a preemption delays ten streams.
func TestForecastErrorIsAsStated(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	const draws = 1000
	for _, knowsOthers := range []bool{true, false} {
		under := 0
		for range draws {
			e := &Engine{Rate: testRate}
			var lengths []float64
			var streams []Stream
			for len(streams) < 8 {
				length := testExpected * math.Exp(priorSpread*random.NormFloat64())
				s := testStream(5000 * random.Float64())
				s.Prompt = drawLognormal(random, testPrompt)
				if length = min(length, testMax); length > s.Generated {
					streams, lengths = append(streams, s), append(lengths, length)
				}
			}
			if knowsOthers {
				e.Own = streams
			} else {
				for _, s := range streams {
					e.Others.Count++
					e.Others.Memory += s.Size()
				}
			}
			curve := testModel.Forecast(e)
			high := curve.Peak(Deviations(10), 7*time.Second).High
			real := 0.0
			for at := 0.0; at < 7; at += 0.1 {
				sum := 0.0
				for i, s := range streams {
					if grown := s.Generated + at*testRate; grown < lengths[i] {
						sum += s.Prompt + grown
					}
				}
				real = max(real, sum)
			}
			if real <= high {
				under++
			}
		}
		t.Logf("own streams %v: memory stays under the forecast in %d of %d", knowsOthers, under, draws)
		if share := float64(under) / draws; share < 0.85 || share > 0.96 {
			t.Errorf("memory stays under the forecast in %.3f", share)
		}
	}
}

func TestStreamsStayWhereMemorySuffices(t *testing.T) {
	e := &Engine{Capacity: testCapacity, Rate: testRate, Others: Group{Count: 7, Memory: 7 * 7000}}
	if got := testModel.Leave(e, testStream(1000), 100*time.Millisecond); got.Probability != 0 {
		t.Errorf("%+v", got)
	}
}

// All instances see the same overflow. If each moved a stream, the engine would be empty.
func TestAsManyStreamsLeaveAsNeeded(t *testing.T) {
	const streams = 10
	e := &Engine{Capacity: testCapacity, Rate: testRate, Others: Group{Count: streams - 1, Memory: (streams - 1) * 7200}}
	got := testModel.Leave(e, testStream(1600), 100*time.Millisecond)
	over := got.Peak.Mean - testCapacity
	if over <= 0 || over > 8000 {
		t.Fatalf("overflow by %v", over)
	}
	// One has to leave in the 400 ms until the others know of it.
	if leaving := streams * 4 * got.Probability; leaving < 0.5 || leaving > 2 {
		t.Errorf("%v streams leave, probability %v", leaving, got.Probability)
	}
	ending := testStream(1600)
	ending.Expected = 400
	if other := testModel.Leave(e, ending, 100*time.Millisecond); other.Probability > 0.9*got.Probability {
		t.Errorf("a stream that is about to end leaves with probability %v, another with %v", other.Probability, got.Probability)
	}
}

// A changed horizon without the moment of a move would compare streams at another moment.
func TestMoveLeadIsInHorizon(t *testing.T) {
	if horizon[moveLeadPoint] != MoveLead {
		t.Errorf("horizon[%d] is %v, not %v", moveLeadPoint, horizon[moveLeadPoint], MoveLead)
	}
}

// A time that is too early makes a request wait in vain. One that is too late has it refused.
func TestFitsAfterStreamsEnd(t *testing.T) {
	e := &Engine{Capacity: testCapacity, Rate: testRate}
	for range 9 {
		s := testStream(4000)
		s.Max = 4000 + testRate
		e.Own = append(e.Own, s)
	}
	deviations := Deviations(9)
	if testModel.Admit(e, testStream(0), deviations).Fits {
		t.Fatal("fits now")
	}
	if after, known := testModel.FitsAfter(e, testStream(0), deviations); !known || after != time.Second {
		t.Errorf("fits after %v, %v; the streams end after a second", after, known)
	}
	e.Others.Memory = testCapacity
	if after, known := testModel.FitsAfter(e, testStream(0), deviations); known {
		t.Errorf("fits after %v beside memory that is never released", after)
	}
	empty := &Engine{Capacity: testCapacity, Rate: testRate}
	if after, known := testModel.FitsAfter(empty, testStream(0), deviations); !known || after != 0 {
		t.Errorf("fits an empty engine after %v, %v", after, known)
	}
}

// A selection decides this for each decode engine of the service.
func BenchmarkAdmit(b *testing.B) {
	e := &Engine{Capacity: testCapacity, Rate: testRate, Own: []Stream{testStream(100)}, Others: Group{Count: 7, Memory: 7 * 7000}}
	for b.Loop() {
		testModel.Admit(e, testStream(0), 1.7)
	}
}

// Guards against a forecast before the instance has started a stream, whose figures are no numbers: the process ended on x86-64, where such a
// figure becomes a negative index, and other processors forecast no memory.
func TestForecastBeforeTheFirstStream(t *testing.T) {
	engine := &Engine{Capacity: 1000, Others: Group{Count: 3, Memory: 600}, Rate: 150}
	for name, typical := range map[string]Typical{"nothing is known": {Max: testMax}, "only prompts are": {Prompt: testPrompt, Max: testMax}} {
		curve := (&Model{Typical: typical}).Forecast(engine)
		for i, mean := range curve.Mean {
			if mean != 600 || curve.Variance[i] != 0 {
				t.Errorf("%s: %g tokens after %s, variance %g", name, mean, horizon[i], curve.Variance[i])
			}
		}
	}
}
