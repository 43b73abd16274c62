package edge

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

const longText = 60 << 10

// receiver returns an instance, a sibling that it knows, and a function that hands it a message of the sibling.
func receiver(t *testing.T) (*Instance, member.Info, func(heartbeat.Message)) {
	t.Helper()
	in := bareInstance("a", &claims{}, enginesOf(1, 1))
	in.registry.Reset(registry.Snapshot{Position: 10, Entries: []registry.Entry{goodServer("s1")}}, time.Now())
	in.rebuild()
	from := member.Info{Name: "b", Incarnation: 1, Zone: "z", Peer: "127.0.0.1:1"}
	receive := func(m heartbeat.Message) {
		if from.Uptime++; m.From == (member.Info{}) {
			m.From = from
		}
		in.handleMessage(m)
		in.sumLoads()
	}
	receive(heartbeat.Message{})
	return in, from, receive
}

func goodServer(id string) registry.Entry {
	return registry.Entry{ID: id, Service: "model", Address: "127.0.0.1:1", Zone: "z", Release: "v1", Slots: 8}
}

// oddServers returns entries that no server can have written and that instances of an older build pass on.
func oddServers() map[string]registry.Entry {
	odd := make(map[string]registry.Entry)
	for name, change := range map[string]func(*registry.Entry){
		"port":    func(e *registry.Entry) { e.Address = "127.0.0.1:0" },
		"slots":   func(e *registry.Entry) { e.Slots = math.MinInt64 },
		"weights": func(e *registry.Entry) { e.Weights = math.MaxInt64 },
		"cold":    func(e *registry.Entry) { e.ColdMillis = math.MaxInt64 },
		"release": func(e *registry.Entry) { e.Release = strings.Repeat("v", longText) },
		"born":    func(e *registry.Entry) { e.Born = -1 },
		"id\r\n":  func(*registry.Entry) {},
	} {
		entry := goodServer(name)
		change(&entry)
		odd[name] = entry
	}
	return odd
}

// Guards against entries that an instance of an older build passes on, in changes or in a whole list.
func TestOddEntriesOfSiblingsNameNoServer(t *testing.T) {
	in, _, receive := receiver(t)
	updates := &heartbeat.Updates{From: 10, To: 10}
	snapshot := registry.Snapshot{Position: 100}
	for id, entry := range oddServers() {
		updates.To++
		updates.Changes = append(updates.Changes, registry.Change{ID: id, Entry: &entry})
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	updates.To += 2
	mismatched, good := goodServer("s2"), goodServer("s3")
	updates.Changes = append(updates.Changes, registry.Change{ID: "s1", Entry: &mismatched}, registry.Change{ID: "s3", Entry: &good})
	snapshot.Entries = append(snapshot.Entries, good)
	receive(heartbeat.Message{Updates: updates})
	if view := in.registry.View(); view.Position != updates.To || len(view.Servers) != 1 || view.Find("s3") == nil {
		t.Errorf("after changes: position %v, servers %.300q", view.Position, fmt.Sprint(view.Servers))
	}
	in.applyList(&Snapshot{Servers: &snapshot}, "b")
	if view := in.registry.View(); view.Position != 100 || len(view.Servers) != 1 || view.Find("s3") == nil {
		t.Errorf("after a list: position %v, servers %.300q", view.Position, fmt.Sprint(view.Servers))
	}
}

// Guards against one datagram after which an instance ignores what the store has.
func TestOddPositionsOfSiblingsAreIgnored(t *testing.T) {
	in, _, receive := receiver(t)
	for _, to := range []oplog.Position{math.MaxUint64, oplog.NewPosition(1, 20), 1 << 39} {
		receive(heartbeat.Message{Updates: &heartbeat.Updates{From: 10, To: to}})
		if at := in.registry.View().Position; at != 10 {
			t.Fatalf("position %v after changes up to %v", at, to)
		}
	}
}

// Guards against values that are kept though no instance sends them: each would change what this instance decides.
func TestOddValuesOfSiblingsAreNotKept(t *testing.T) {
	long := strings.Repeat("x", longText)
	peers := make([]string, 10_000)
	for i := range peers {
		peers[i] = fmt.Sprintf("127.0.%d.%d:%d", i/200, i%200, i+1)
	}
	in, from, receive := receiver(t)
	info := func(change func(*member.Info)) member.Info {
		odd := member.Info{Name: "c", Incarnation: 1, Zone: "z", Peer: "127.0.0.1:2"}
		change(&odd)
		return odd
	}
	at := origin.Origin{Service: "s", Release: long}
	key := origin.KeyOf("r1")
	messages := map[string]heartbeat.Message{
		"name":        {From: info(func(i *member.Info) { i.Name = long })},
		"no name":     {From: info(func(i *member.Info) { i.Name = "" })},
		"zone":        {From: info(func(i *member.Info) { i.Zone = long })},
		"caller":      {From: info(func(i *member.Info) { i.Caller = long })},
		"peer":        {From: info(func(i *member.Info) { i.Peer = "nowhere" })},
		"capacity":    {From: info(func(i *member.Info) { i.Capacity = -1 })},
		"loads":       {Loads: []heartbeat.Load{{Server: 1, InFlight: math.MinInt64, Memory: math.MinInt64}}},
		"peers":       {Peers: append(peers, long, "nowhere")},
		"evacuation":  {Evacuation: &heartbeat.Evacuation{Position: 5, Zones: []string{long}}},
		"origin":      {Origins: &origin.Message{Origins: []origin.Origin{at}, Began: []origin.Began{{Key: key, LeftMillis: 9999}}}},
		"instances":   {Digest: &heartbeat.Digest{Instances: math.MaxInt64}},
		"rate":        {Pressure: &backpressure.Update{Limits: []backpressure.LimitReport{{Server: 1, Observation: 1, Named: true, Rate: math.Inf(1)}}}},
		"state":       {Digest: &heartbeat.Digest{Observations: []heartbeat.Observation{{Info: info(func(*member.Info) {}), State: "odd"}}}},
		"observation": {Digest: &heartbeat.Digest{Observations: []heartbeat.Observation{{Info: info(func(i *member.Info) { i.Zone = long }), State: member.Alive}}}},
	}
	for name, message := range messages {
		receive(message)
		if siblings := in.members.View().Siblings; len(siblings) != 1 || siblings[0].Name != from.Name {
			t.Errorf("%s: %d siblings are known", name, len(siblings))
			in.members = newMembers(in.config)
			receive(heartbeat.Message{})
		}
	}
	now := time.Now()
	if loads := in.peers.sum(in.members.View().Serving())[1]; loads.InFlight < 0 || loads.Memory < 0 {
		t.Errorf("loads: %+v", loads)
	}
	if known := in.peers.addresses(now); len(known) > maxAddresses || len(known) < 1000 {
		t.Errorf("%d addresses are known", len(known))
	}
	if got := in.Instances(); got != 2 {
		t.Errorf("%d instances are assumed", got)
	}
	if _, known := in.Origins.kept.Find(key, now); known || in.Evacuated() != 0 || in.Fleet.Backpressure.Limited() != 0 {
		t.Errorf("origin known %v, %d zones evacuated, %d servers limited", known, in.Evacuated(), in.Fleet.Backpressure.Limited())
	}
}

// Guards against totals of a team whose difference wraps around and becomes a debt that lasts for ever.
func TestOddTotalsOfTeamsAreIgnored(t *testing.T) {
	in, _, receive := receiver(t)
	in.Allotments.SetLimits(map[string]allotment.Limit{"team": {Rate: 10, Burst: 10}}, time.Now())
	for _, total := range []int64{0, math.MaxInt64, math.MinInt64, math.MaxInt64} {
		receive(heartbeat.Message{Spent: []allotment.Spent{{Team: allotment.IDOf("team"), Total: total, Recent: total}}})
	}
	if balance := in.Allotments.Balances(1, time.Now()); len(balance) > 0 && balance[0].Units < -1000 {
		t.Errorf("%+v", balance)
	}
}

// Guards against a hub that sends a subscriber no more states after one that names a version of its change log that
// it does not have.
func TestHubServesASubscriberWithAnOddVersion(t *testing.T) {
	in, from, receive := receiver(t)
	receive(heartbeat.Message{Hubs: true, RequestHub: true, Seen: 1 << 40, SeenRun: 1, Shares: []subset.Share{{Service: "s", Near: 255, Far: 255}}})
	in.hubs.updateLog(in.members.View().Siblings, true)
	all := newRepetition(in.members.View(), "", 1, time.Now()).keep(false)
	if states, upto := in.hubs.missingChanges(in.hubs.current()[from.Name].seen, in.members.View(), all, time.Now()); len(states) != 1 || upto != 1 || len(in.hubs.current()) != 1 {
		t.Errorf("%d states up to %d", len(states), upto)
	}
}

// keepingSocket keeps the last datagram that is sent.
type keepingSocket struct {
	droppingSocket
	sent []byte
}

// Send implements Socket.
func (s *keepingSocket) Send(_ string, datagram []byte) error {
	s.sent = datagram
	return nil
}

// Guards against a heartbeat that the kernel refuses for its size, after which siblings take this instance for dead.
func TestLargeHeartbeatIsSentInPart(t *testing.T) {
	in, _, _ := receiver(t)
	socket := new(keepingSocket)
	in.deps.Socket = socket
	message := in.message(time.Now())
	for i := range 10_000 {
		message.Loads = append(message.Loads, heartbeat.Load{Server: uint32(i), InFlight: 1, Memory: 9})
	}
	in.send(message, "127.0.0.1:1")
	const largest = 65507 // of a datagram over IPv4
	if len(socket.sent) > largest || len(socket.sent) == 0 {
		t.Errorf("a datagram of %d bytes is sent", len(socket.sent))
	}
}
