package edge

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// Cold servers of a service with a cold rate are sent no more requests than that rate allows.
func TestColdServersAreSentABoundedRate(t *testing.T) {
	in := bareInstance("a", new(claims), enginesOf(0, 0))
	in.config.ColdOverage, in.config.ColdSlack = 1.5, 5
	in.table.Store(&Revision{Number: 1, View: &table.View{Services: map[string]*table.ServiceView{
		"bounded": {Name: "bounded", ColdRate: 1}, "free": {Name: "free"},
	}}})
	now := time.Now()
	in.registry.Reset(registry.Snapshot{Position: 1, Entries: []registry.Entry{
		{ID: "cold", Service: "bounded", ColdMillis: 60_000}, {ID: "warm", Service: "bounded"}, {ID: "any", Service: "free", ColdMillis: 60_000},
	}}, now)
	in.rebuild()
	sent := func(id string) (count int) {
		for range 100 {
			if in.Fleet.Server(id).Pressure.Send(backpressure.PlainWork, time.Now()) == backpressure.Clear {
				count++
			}
		}
		return count
	}
	if cold, warm, free := sent("cold"), sent("warm"), sent("any"); cold > 5 || warm != 100 || free != 100 {
		t.Errorf("%d requests sent to a cold server, %d to a warm one, %d to a cold one of a service without a bound", cold, warm, free)
	}
	if n := in.Fleet.Backpressure.Cold(time.Now()); n != 1 {
		t.Errorf("%d servers are counted as cold", n)
	}
}
