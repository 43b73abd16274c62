package forward

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// spread puts p2, d2 and s2 into another zone than the others, which is in another region.
func (b *bench) spread() {
	b.RegionOf = map[string]string{"z": "west", "y": "east"}
	now := *b.View.Servers()
	now.ByRun = maps.Clone(now.ByRun)
	for _, id := range []string{"p2", "d2", "s2"} {
		entry := *now.ByRun[id]
		entry.Zone = "y"
		now.ByRun[id], now.ByID[id] = &entry, &entry
	}
	for _, pools := range []map[string][]*table.BackendView{now.Prefill, now.Decode, now.Plain} {
		for _, pool := range pools {
			pool[1].Zone = "y"
		}
	}
	b.believe(&now)
}

// bind names the regions that may serve a path.
func (b *bench) bind(path string, regions ...string) {
	b.View.Table().Route("h", path).Regions = regions
}

// keptAway checks that nothing was sent to some servers.
func (b *bench) keptAway(from ...string) {
	b.t.Helper()
	for _, id := range from {
		for _, step := range []string{"call ", "reserve ", "prefill ", "decode ", "copy ", "stop "} {
			if n := b.did(step + id); n != 0 {
				b.t.Errorf("%s%s %d times", step, id, n)
			}
		}
	}
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	play(t, func(b *bench) {
		b.spread()
		b.bind("/stream/", "east")
		b.bind("/safe/", "east", "elsewhere")
		for i := range 20 {
			if reply := b.serve(b.generation("g"+string(rune('a'+i)), 1000)); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
			if reply := b.serve(b.plain("c" + string(rune('a'+i)))); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
		}
		b.keptAway("p1", "d1", "s1")
		b.nothingHeld()
	})
}

// The callers may come back while the region's servers do; elsewhere they are not served.
func TestARequestWhoseRegionsHaveNoServerIsRefusedAtOnce(t *testing.T) {
	for name, regions := range map[string][]string{"none there": {"north"}, "none that is known": {""}} {
		t.Run(name, func(t *testing.T) {
			play(t, func(b *bench) {
				b.spread()
				b.RegionOf["z"], b.RegionOf["y"] = "west", "west"
				b.bind("/stream/", regions...)
				b.bind("/safe/", regions...)
				for _, r := range []*Request{b.generation("g", 1000), b.plain("c")} {
					began := time.Now()
					reply := b.serve(r)
					if reply.Status != statusUnavailable || reply.Reason != reason.OutsideRegions || reply.RetryAfter <= 0 || time.Since(began) > 0 {
						t.Errorf("%+v after %v", reply, time.Since(began))
					}
				}
				b.keptAway("p1", "p2", "d1", "d2", "s1", "s2")
				b.nothingHeld()
			})
		})
	}
}

// A call is tried again, and a stream goes on, in its regions or not at all.
func TestWhatIsTriedAgainStaysInItsRegions(t *testing.T) {
	play(t, func(b *bench) {
		b.spread()
		b.bind("/safe/", "east")
		b.bind("/resume/", "east")
		b.engines.call = func(string) (*Answer, error) { return &Answer{Status: 500}, nil }
		b.serve(b.plain("c"))
		b.keptAway("s1")
		if b.Gateway.hasRoomBeside("d2", "llm", 1000, regions{"east": true}) || !b.Gateway.hasRoomBeside("d2", "llm", 1000, nil) {
			t.Error("a run would be cut off for room that it may not use")
		}
	})
}

func TestRouteAndTeamBothBind(t *testing.T) {
	for _, test := range []struct{ route, team, want []string }{
		{nil, nil, nil},
		{[]string{"a", "b"}, nil, []string{"a", "b"}},
		{nil, []string{"b"}, []string{"b"}},
		{[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{[]string{"a"}, []string{"b"}, []string{}},
	} {
		allowed := allowedRegions(&table.RouteView{Regions: test.route}, &table.TeamView{Regions: test.team})
		var got []string
		for _, region := range []string{"a", "b", "c"} {
			if allowed[region] {
				got = append(got, region)
			}
		}
		if !slices.Equal(got, test.want) || (allowed == nil) != (test.want == nil) {
			t.Errorf("%v and %v: %v", test.route, test.team, allowed)
		}
	}
}

// Streams move within their regions, or stay.
func TestAStreamMovesWithinItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(sinceVirtualStart)
		b := newBench(t)
		b.spread()
		g := &generation{flow: &flow{Gateway: b.Gateway, request: b.generation("g", 1000), regions: regions{"west": true}, entries: make(map[string]*registry.Entry)}}
		g.service, g.route = b.View.Table().Services["llm"], b.View.Table().Route("h", "/stream/")
		g.decode = &route.Rated{Candidate: route.Candidate{Backend: b.View.Servers().Decode["llm"][0], Server: b.Fleet.Server("d1")}}
		g.decode.Name = "d1"
		r := &relay{generation: g}
		if to := r.destination(reason.EngineLeaving, 1000); to != nil {
			t.Errorf("to %s, out of its regions", to.Name)
		}
		g.regions = nil
		if to := r.destination(reason.EngineLeaving, 1000); to == nil || to.Name != "d2" {
			t.Errorf("to %+v", to)
		}
	})
}
