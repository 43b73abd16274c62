package backpressure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLook measures Check for one server, which is on the path of each request.
func BenchmarkLook(b *testing.B) {
	now := time.Now()
	for name, report := range map[string]StatusReport{"no limit": noLimit, "limited": limitOf(5)} {
		b.Run(name, func(b *testing.B) {
			server := singleInstance().Server("s")
			server.Observe(report, now, now)
			for b.Loop() {
				server.Check(PlainWork, now)
			}
		})
	}
}

// BenchmarkShare measures the cost of a change of the instances for each limited server.
func BenchmarkShare(b *testing.B) {
	for _, size := range []int{8, 60, 300, 1400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			instances := &Instances{Self: "i0"}
			for i := range size {
				instances.Active = append(instances.Active, fmt.Sprint("i", i))
			}
			for b.Loop() {
				instances.share(7, 5, instances.sendersFor(5))
			}
		})
	}
}
