package peer

import (
	"context"
	"crypto/tls"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/mastwheel/mastwheel/reason"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testInstance is an instance that answers every Reserve with one free memory piece
// (the unit of KV cache memory, 2,000 tokens) and counts heartbeats.
type testInstance struct {
	*QUIC
	keys       *Keys
	heartbeats atomic.Int64
	stop       func()
}

func openInstance(t *testing.T, authority *Authority, name string) *testInstance {
	t.Helper()
	identity, err := authority.Identity(name)
	if err != nil {
		t.Fatal(err)
	}
	s := &testInstance{keys: NewKeys(identity)}
	s.QUIC, err = ListenQUIC("127.0.0.1:0", s.keys)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(ctx, s.answer)
	}()
	s.stop = func() {
		cancel()
		s.Close()
		<-done
	}
	return s
}

func (s *testInstance) answer(_ context.Context, message *Message) *Message {
	if message.Heartbeat != nil {
		s.heartbeats.Add(1)
		return nil
	}
	return &Message{Reserved: &Reserved{Free: 1, Refused: reason.Reason(message.Reserve.Server)}}
}

// eventually waits until holds returns true. The limit of 3000 checks, 10 ms
// apart, leaves time for a slow machine.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met in time: " + what)
}

func mustAuthority(t *testing.T) *Authority {
	t.Helper()
	authority, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestSiblings(t *testing.T) {
	authority := mustAuthority(t)
	one, other := openInstance(t, authority, "one"), openInstance(t, authority, "other")
	defer one.stop()
	defer other.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	Convey("A request receives its answer", t, func() {
		request := &Message{Reserve: &Reserve{Server: "w", Pieces: 3}}
		answer, err := one.Call(ctx, other.Address(), request)
		So(err, ShouldBeNil)
		So(*answer.Reserved, ShouldResemble, Reserved{Free: 1, Refused: "w"})
	})
	Convey("A short heartbeat arrives as a datagram, a long one on a stream", t, func() {
		long := &Message{Heartbeat: &Heartbeat{Loads: make([]ServerLoad, 500)}}
		one.Send(other.Address(), &Message{Heartbeat: &Heartbeat{}})
		one.Send(other.Address(), long)
		eventually(t, "two heartbeats", func() bool { return other.heartbeats.Load() == 2 })
	})
	Convey("A call to an address without a listener fails", t, func() {
		_, err := one.Call(ctx, "127.0.0.1:1", &Message{Reserve: &Reserve{}})
		So(err, ShouldNotBeNil)
	})
}

func TestClientOfAnotherAuthorityIsRejected(t *testing.T) {
	ours := openInstance(t, mustAuthority(t), "ours")
	defer ours.stop()
	foreign := openInstance(t, mustAuthority(t), "foreign")
	defer foreign.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := foreign.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}})
	if err == nil {
		t.Fatal("a client of another authority received an answer")
	}
}

func TestClientWithoutCertificateIsRejected(t *testing.T) {
	authority := mustAuthority(t)
	ours, bare := openInstance(t, authority, "ours"), openInstance(t, authority, "bare")
	defer ours.stop()
	defer bare.stop()
	withoutCertificate := *bare.keys.current.Load()
	withoutCertificate.Certificate = tls.Certificate{}
	bare.keys.Replace(&withoutCertificate)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := bare.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}}); err == nil {
		t.Fatal("a client without a certificate received an answer")
	}
	eventually(t, "the rejected client is counted", func() bool { return ours.RejectedConnections() == 1 })
}

func TestClientWithKeyOfAnotherAuthorityIsRejected(t *testing.T) {
	authority := mustAuthority(t)
	ours := openInstance(t, authority, "ours")
	defer ours.stop()
	// The impostor trusts the authority, but its certificate is signed by
	// another authority.
	impostor := openInstance(t, mustAuthority(t), "impostor")
	defer impostor.stop()
	trusted, err := authority.Identity("trusted")
	if err != nil {
		t.Fatal(err)
	}
	forged := *impostor.keys.current.Load()
	forged.Authorities = trusted.Authorities
	impostor.keys.Replace(&forged)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := impostor.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}}); err == nil {
		t.Fatal("a client with a key of another authority received an answer")
	}
	eventually(t, "the rejected client is counted", func() bool { return ours.RejectedConnections() == 1 })
}

func TestKeysAreReplacedWhileRunning(t *testing.T) {
	first, second := mustAuthority(t), mustAuthority(t)
	one, other := openInstance(t, first, "one"), openInstance(t, first, "other")
	defer one.stop()
	defer other.stop()
	for _, s := range []*testInstance{one, other} {
		identity, err := second.Identity("renewed")
		if err != nil {
			t.Fatal(err)
		}
		s.keys.Replace(identity)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := one.Call(ctx, other.Address(), &Message{Reserve: &Reserve{}}); err != nil {
		t.Fatal(err)
	}
}

func FuzzDecode(f *testing.F) {
	good, err := Encode(&Message{Intent: &Intent{Operation: "x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err == nil && message == nil {
			t.Fatal("Decode returned neither a message nor an error")
		}
	})
}
