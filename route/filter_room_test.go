package route

import (
	"testing"
	"time"
)

func TestEnginesWithoutEnoughRoomAreDropped(t *testing.T) {
	fleet, pool := candidatesOf(&Server{Name: "a"}, &Server{Name: "b"}, &Server{Name: "c"})
	for _, backend := range pool {
		backend.MemoryTokens = 1000
	}
	fleet.Server("a").SetOthers(Commitment{Memory: 600})
	fleet.Server("b").Hold(500)
	fleet.Server("c").Hold(401)
	choose := func(tokens int, spare float64) string {
		query := &Query{RequestID: "r", Now: time.Now(), MemoryTokens: tokens, Spare: spare}
		return ForwardDecode().Decide(query, fleet, pool).Pick
	}
	if got := choose(399, 0.2); got != "c" {
		t.Errorf("chose %q of which one has room", got)
	}
	if got := choose(400, 0.2); got != "" {
		t.Errorf("chose %q though none has room", got)
	}
	for _, backend := range pool {
		backend.MemoryTokens = 0
	}
	if got := choose(400, 0.2); got == "" {
		t.Error("an engine of unknown size was dropped")
	}
}

// All requests of a burst see the same loads; the better of two spreads them.
func TestDecodeEnginesAreNotAllTheBest(t *testing.T) {
	fleet, pool := candidatesOf(&Server{Name: "a"}, &Server{Name: "b"}, &Server{Name: "c"}, &Server{Name: "d"})
	for i, backend := range pool {
		backend.MemoryTokens = 1000
		fleet.Server(backend.Name).Hold(10 * i)
	}
	chosen := make(map[string]int)
	for i := range 400 {
		query := &Query{RequestID: string(rune('a' + i)), Now: time.Now()}
		chosen[ForwardDecode().Decide(query, fleet, pool).Pick]++
	}
	if chosen["a"] > 250 || chosen["b"] < 50 || chosen["c"] < 25 {
		t.Errorf("chose %v", chosen)
	}
}
