// Package capacity measures the cost of each mechanism per unit of size and fits
// a line to the measurements. From the slopes it calculates the cost at the
// deployment size that the system is designed for. It generates the page
// docs/CAPACITY.md.
package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a cost at a size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a line fitted to measurements: cost = Fixed + Each*size.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the cost, Per is the unit of the size.
	Unit  string  `json:"unit"`
	Per   string  `json:"per"`
	Fixed float64 `json:"fixed"`
	Each  float64 `json:"each"`
	// Spread is the largest distance of a point from the line, as a fraction
	// of the point's cost.
	Spread float64 `json:"spread"`
	Points []Point `json:"points"`
}

// At returns the cost at a size.
func (s Slope) At(size float64) float64 { return s.Fixed + s.Each*size }

// fit fits a line to points. Each point is weighted by the inverse square of its
// cost, so that the line fits small sizes as well as large ones.
func fit(name, unit, per string, points []Point) Slope {
	var x, y, weights []float64
	for _, p := range points {
		x, y = append(x, p.Size), append(y, p.Cost)
		weights = append(weights, 1/(p.Cost*p.Cost))
	}
	fixed, each := stat.LinearRegression(x, y, weights, false)
	s := Slope{Name: name, Unit: unit, Per: per, Fixed: fixed, Each: each, Points: points}
	for _, p := range points {
		distance := s.At(p.Size) - p.Cost
		s.Spread = max(s.Spread, max(distance, -distance)/p.Cost)
	}
	return s
}

const (
	// rounds is the number of measurements of each point. The median is used.
	rounds = 5
	// roundTime is the minimum duration of one round.
	roundTime = 40 * time.Millisecond
)

// nanosPerCall measures the elapsed time of one call of work, in nanoseconds.
func nanosPerCall(work func()) float64 {
	work()
	return median(func() float64 {
		calls := 0
		started := time.Now()
		for time.Since(started) < roundTime {
			work()
			calls++
		}
		return float64(time.Since(started).Nanoseconds()) / float64(calls)
	})
}

// cpuNanosPerCall measures the processor time of one call of work over all
// threads of the process, in nanoseconds.
func cpuNanosPerCall(calls int, work func()) float64 {
	work()
	return median(func() float64 {
		before := processTime()
		for range calls {
			work()
		}
		return float64((processTime() - before).Nanoseconds()) / float64(calls)
	})
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("capacity: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func median(measure func() float64) float64 {
	values := make([]float64, rounds)
	for i := range values {
		values[i] = measure()
	}
	slices.Sort(values)
	return values[rounds/2]
}

// heapBytes measures the memory that the value returned by build keeps alive, in
// bytes.
func heapBytes(build func() any) float64 {
	return median(func() float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 1)
	})
}
