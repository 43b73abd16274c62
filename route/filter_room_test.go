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
	fleet.Server("b").AddMemory(500)
	fleet.Server("c").AddMemory(401)
	pick := func(tokens int, spare float64) string {
		query := &Query{RequestID: "r", Now: time.Now(), MemoryTokens: tokens, Spare: spare}
		return ForwardDecode().Decide(query, fleet, pool).Pick
	}
	if got := pick(399, 0.2); got != "c" {
		t.Errorf("selected %q, want the only engine with enough room", got)
	}
	if got := pick(400, 0.2); got != "" {
		t.Errorf("selected %q although no engine has enough room", got)
	}
	for _, backend := range pool {
		backend.MemoryTokens = 0
	}
	if got := pick(400, 0.2); got == "" {
		t.Error("an engine of unknown size was dropped")
	}
}

// All requests of a burst see the same loads. The better of two random engines
// spreads them.
func TestDecodeSelectionSpreadsRequests(t *testing.T) {
	fleet, pool := candidatesOf(&Server{Name: "a"}, &Server{Name: "b"}, &Server{Name: "c"}, &Server{Name: "d"})
	for i, backend := range pool {
		backend.MemoryTokens = 1000
		fleet.Server(backend.Name).AddMemory(10 * i)
	}
	selected := make(map[string]int)
	for i := range 400 {
		query := &Query{RequestID: string(rune('a' + i)), Now: time.Now()}
		selected[ForwardDecode().Decide(query, fleet, pool).Pick]++
	}
	if selected["a"] > 250 || selected["b"] < 50 || selected["c"] < 25 {
		t.Errorf("selected %v", selected)
	}
}
