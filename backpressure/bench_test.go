package backpressure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLook is what a choice costs for each server, on the path of a request.
func BenchmarkLook(b *testing.B) {
	now := time.Now()
	for name, said := range map[string]Statement{"calm": silent, "limited": named(5)} {
		b.Run(name, func(b *testing.B) {
			server := alone().Server("s")
			server.Heard(said, now, now)
			for b.Loop() {
				server.Look(PlainWork, now)
			}
		})
	}
}

// BenchmarkPart is what a change of the instances costs for each limited server.
func BenchmarkPart(b *testing.B) {
	for _, size := range []int{8, 60, 300, 1400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			instances := &Instances{Self: "i0"}
			for i := range size {
				instances.Taking = append(instances.Taking, fmt.Sprint("i", i))
			}
			for b.Loop() {
				instances.part(7, 5, instances.sendersFor(5))
			}
		})
	}
}
