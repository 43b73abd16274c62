package compare

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trial"
)

// run plays a case on the virtual clock.
func run(t *testing.T, c Case) Result {
	t.Helper()
	var result Result
	synctest.Test(t, func(*testing.T) {
		result = Run(c)
		time.Sleep(2 * time.Minute)
	})
	return result
}

func TestQuick(t *testing.T) {
	for _, name := range []string{"cooperativa", "camara"} {
		d := trial.Deployments[name]
		t.Logf("%s capacity %.1f/s", name, Capacity(d))
		for _, l := range []float64{0.7, 1.0, 1.1, 1.3} {
			for _, p := range append([]route.Policy{route.DefaultPolicy()}, route.Baselines()...) {
				r := run(t, Case{Deployment: d, Instances: 3, Load: l, Duration: 20 * time.Second, Seed: 1, Policy: p})
				t.Log(fmt.Sprintf("%-10s %.1f %-16s goodput %.3f (bound %.3f) waste %.4f %v ttft %v tbt %v %v", name, l, p.Name, r.Goodput, r.Bound, r.Wasted, r.WastedByCause, r.FirstTokenP95.Milliseconds(), r.BetweenP95.Milliseconds(), r.Reasons))
			}
		}
	}
}
