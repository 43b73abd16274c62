// Package capacity measures what each mechanism costs per unit of size, fits
// a line to it, and works out from the slopes what the size to design for
// takes. The page docs/CAPACITY.md is made from it.
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
	// Unit is that of the cost, Per that of the size.
	Unit  string  `json:"unit"`
	Per   string  `json:"per"`
	Fixed float64 `json:"fixed"`
	Each  float64 `json:"each"`
	// Spread is the largest distance of a point from the line, as a part of
	// the point's cost.
	Spread float64 `json:"spread"`
	Points []Point `json:"points"`
}

// At returns the cost at a size.
func (s Slope) At(size float64) float64 { return s.Fixed + s.Each*size }

// fit lays a line through points, each weighted by the inverse square of its
// cost, so that it fits small sizes as well as large ones.
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
	// rounds is how often each point is measured; the median counts.
	rounds = 5
	// roundTime is the least time of one round.
	roundTime = 40 * time.Millisecond
)

// nanos measures one call of work, in nanoseconds.
func nanos(work func()) float64 {
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

// cpuNanos measures the processor time of one call of work, all threads of
// the process included, in nanoseconds.
func cpuNanos(calls int, work func()) float64 {
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

// heapBytes measures the memory that what make returns keeps alive, in bytes.
func heapBytes(make func() any) float64 {
	return median(func() float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := make()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 1)
	})
}
