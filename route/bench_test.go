package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/table"
)

// fleetOf returns a fleet and a pool of that many decode engines with reports.
func fleetOf(workers int) (*Fleet, []*table.BackendView) {
	view := &table.View{Backends: make(map[string]*table.BackendView)}
	pool := make([]*table.BackendView, workers)
	for i := range pool {
		name := fmt.Sprintf("w-%d", i)
		pool[i] = &table.BackendView{Name: name, Zone: fmt.Sprintf("z-%d", i%3), Pieces: 40, Role: table.RoleDecode}
		view.Backends[name] = pool[i]
	}
	fleet := NewFleet()
	fleet.Adopt(view)
	for i, backend := range pool {
		fleet.Server(backend.Name).Observe(&Report{FreePieces: i % 40, WaitingTokens: i * 10})
	}
	return fleet, pool
}

// BenchmarkDecide measures one placement decision by pool size.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{12, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			fleet, pool := fleetOf(workers)
			profile := DecodeProfile()
			query := &Query{RequestID: "r", Zone: "z-1", PromptTokens: 3000, Pieces: 2, Now: time.Unix(1, 0)}
			b.ReportAllocs()
			for b.Loop() {
				profile.Decide(query, fleet, pool)
			}
		})
	}
}

// BenchmarkSteward measures one reservation and its release by the number of
// reservations that the engine holds.
func BenchmarkSteward(b *testing.B) {
	for _, held := range []int{0, 20, 200} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			steward := NewSteward()
			now := time.Unix(1, 0)
			report := EngineReport{TakenAt: now, Pieces: 10_000, Held: make(map[ReservationKey]int)}
			for i := range held {
				report.Held[ReservationKey{RequestID: fmt.Sprint(i)}] = 2
			}
			steward.Observe("w", report)
			demand := Demand{ReservationKey: ReservationKey{RequestID: "r"}, Pieces: 2, TTL: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				steward.Reserve("w", demand, now)
				steward.Release("w", demand.ReservationKey, now)
				steward.Observe("w", EngineReport{TakenAt: now.Add(time.Second), Pieces: 10_000, Held: report.Held})
			}
		})
	}
}

// BenchmarkOwner measures the search for a worker's steward (the instance that grants
// reservations there) by the number of instances in the cell (the group of instances that know
// each other fully).
func BenchmarkOwner(b *testing.B) {
	for _, instances := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			names := make([]string, instances)
			for i := range names {
				names[i] = fmt.Sprintf("instance-%d", i)
			}
			for b.Loop() {
				Owner("worker-17", names)
			}
		})
	}
}
