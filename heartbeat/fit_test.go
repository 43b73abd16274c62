package heartbeat

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
)

// Guards against a heartbeat that is too large for a datagram, so that siblings hear nothing of an instance that lives.
func TestHeartbeatFitsIntoADatagram(t *testing.T) {
	large := Message{From: member.Info{Name: "a", Peer: "127.0.0.1:1"}, Poison: &poison.Update{Probes: []poison.Mark{{Request: 1}}}}
	digest := &Digest{To: 9, Instances: 3}
	updates := &Updates{To: 1}
	for i := range 10_000 {
		large.Loads = append(large.Loads, Load{Server: uint32(i), InFlight: 1})
		large.Speeds = append(large.Speeds, "123456789"...)
		updates.Changes = append(updates.Changes, registry.Change{ID: fmt.Sprint(i)})
		digest.Observations = append(digest.Observations, Observation{Info: member.Info{Name: fmt.Sprint(i)}})
	}
	for name, change := range map[string]func(*Message){
		"loads": func(*Message) {}, "updates": func(m *Message) { m.Updates = updates }, "digest": func(m *Message) { m.Digest = digest },
	} {
		message := large
		change(&message)
		datagram, leftOut, err := EncodeToFit(message)
		var got Message
		if err != nil || len(datagram) > maxDatagram || leftOut == 0 || cbor.Unmarshal(datagram, &got) != nil {
			t.Fatalf("%s: %d bytes, %d parts left out, %v", name, len(datagram), leftOut, err)
		}
		if got.From != message.From || got.Poison == nil {
			t.Errorf("%s: small parts were left out: %+v", name, got)
		}
		if got.Digest != nil && (got.Digest.To != 0 || got.Digest.Instances != 3) {
			t.Errorf("%s: digest up to %d of %d instances", name, got.Digest.To, got.Digest.Instances)
		}
	}
	if datagram, leftOut, err := EncodeToFit(Message{From: large.From}); err != nil || leftOut != 0 || len(datagram) == 0 {
		t.Errorf("%d bytes, %d parts left out, %v", len(datagram), leftOut, err)
	}
	if digest.To != 9 {
		t.Error("the digest of the caller was changed")
	}
}
