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

// splitZones moves p2, d2 and s2 to another availability zone, in another region.
func (b *bench) splitZones() {
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
	b.setServers(&now)
}

// restrictRegions sets the regions that may serve a path.
func (b *bench) restrictRegions(path string, regions ...string) {
	b.View.Table().Route("h", path).Regions = regions
}

// checkNotCalled checks that some servers got no calls.
func (b *bench) checkNotCalled(from ...string) {
	b.t.Helper()
	for _, id := range from {
		for _, step := range []string{"call ", "reserve ", "prefill ", "decode ", "copy ", "stop "} {
			if n := b.callCount(step + id); n != 0 {
				b.t.Errorf("%s%s: %d calls, want 0", step, id, n)
			}
		}
	}
}

func TestRequestsStayInAllowedRegions(t *testing.T) {
	withBench(t, func(b *bench) {
		b.splitZones()
		b.restrictRegions("/stream/", "east")
		b.restrictRegions("/safe/", "east", "elsewhere")
		for i := range 20 {
			if reply := b.serve(b.generation("g"+string(rune('a'+i)), 1000)); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
			if reply := b.serve(b.plain("c" + string(rune('a'+i)))); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
		}
		b.checkNotCalled("p1", "d1", "s1")
		b.checkNothingHeld()
	})
}

// The refusal has a Retry-After, since the region's servers may return. Servers of other
// regions are not used.
func TestRequestIsRefusedAtOnceIfItsRegionsHaveNoServer(t *testing.T) {
	for name, regions := range map[string][]string{"no server in region": {"north"}, "unknown region": {""}} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.splitZones()
				b.RegionOf["z"], b.RegionOf["y"] = "west", "west"
				b.restrictRegions("/stream/", regions...)
				b.restrictRegions("/safe/", regions...)
				for _, r := range []*Request{b.generation("g", 1000), b.plain("c")} {
					began := time.Now()
					reply := b.serve(r)
					if reply.Status != statusUnavailable || reply.Reason != reason.OutsideRegions || reply.RetryAfter <= 0 || time.Since(began) > 0 {
						t.Errorf("%+v after %v", reply, time.Since(began))
					}
				}
				b.checkNotCalled("p1", "p2", "d1", "d2", "s1", "s2")
				b.checkNothingHeld()
			})
		})
	}
}

// A retried call and a resumed stream stay in their allowed regions.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	withBench(t, func(b *bench) {
		b.splitZones()
		b.restrictRegions("/safe/", "east")
		b.restrictRegions("/resume/", "east")
		b.engines.call = func(string) (*Answer, error) { return &Answer{Status: 500}, nil }
		b.serve(b.plain("c"))
		b.checkNotCalled("s1")
		if len(b.enginesWithRoom("d2", "llm", 1000, regions{"east": true}, nil)) > 0 || len(b.enginesWithRoom("d2", "llm", 1000, nil, nil)) == 0 {
			t.Error("memory outside of the allowed regions counts as usable")
		}
	})
}

func TestRegionsOfRouteAndTeamIntersect(t *testing.T) {
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

// A stream moves only to an engine in its allowed regions.
func TestStreamMovesOnlyWithinAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(sinceVirtualStart)
		b := newBench(t)
		b.splitZones()
		g := &generation{flow: &flow{Gateway: b.Gateway, request: b.generation("g", 1000), regions: regions{"west": true}, entries: make(map[string]*registry.Entry)}}
		g.service, g.route = b.View.Table().Services["llm"], b.View.Table().Route("h", "/stream/")
		g.decode = &route.ScoredCandidate{Candidate: route.Candidate{Backend: b.View.Servers().Decode["llm"][0], Server: b.Fleet.Server("d1")}}
		g.decode.Name = "d1"
		r := &relay{generation: g}
		if to := r.destination(reason.EngineLeaving, 1000); to != nil {
			t.Errorf("moves to %s, outside of its regions", to.Name)
		}
		g.regions = nil
		if to := r.destination(reason.EngineLeaving, 1000); to == nil || to.Name != "d2" {
			t.Errorf("moves to %+v, want d2", to)
		}
	})
}
