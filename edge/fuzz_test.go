package edge

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
)

// FuzzDatagram checks that no datagram crashes an instance, or makes it treat its list or table as
// newer than it is.
func FuzzDatagram(f *testing.F) {
	for _, age := range []time.Duration{0, time.Second, -time.Hour} {
		datagram, err := heartbeat.Encode(heartbeat.Message{
			From:            member.Info{Name: "b", Incarnation: 1, Peer: "127.0.0.1:1"},
			Loads:           []heartbeat.Load{{Server: 1, InFlight: -1, Memory: -5}},
			Changing:        []heartbeat.RoleChange{{Server: 1, Left: time.Hour}},
			TableContactAge: &age, ServersContactAge: &age,
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram)
	}
	odd, err := heartbeat.Encode(heartbeat.Message{
		From:    member.Info{Name: "b", Incarnation: 1, Peer: "127.0.0.1:1"},
		Updates: &heartbeat.Updates{To: 1, Changes: []registry.Change{{ID: "s", Entry: &registry.Entry{ID: "s", Slots: -1}}}},
		Digest:  &heartbeat.Digest{Instances: -1, To: 1 << 40, Observations: []heartbeat.Observation{{State: "odd"}}},
		Spent:   []allotment.Spent{{Team: 1, Total: 1 << 62}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(odd)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var message heartbeat.Message
		if cbor.Unmarshal(datagram, &message) != nil {
			return
		}
		in := bareInstance("a", &claims{}, enginesOf(1, 1))
		in.handleMessage(message)
		in.sumLoads()
		for _, server := range in.registry.View().Servers {
			if err := server.Check(); err != nil {
				t.Fatalf("server %+v: %v", server.Entry, err)
			}
		}
		if in.Instances() > maxInstances {
			t.Fatalf("%d instances", in.Instances())
		}
		now := time.Now()
		for _, feed := range in.feeds() {
			if feed.latest().After(now) || feed.confirmed().After(now) {
				t.Fatalf("the last answer about %s is dated %v, after %v", feed.name, feed.latest(), now)
			}
		}
	})
}
