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

// station is a transport that answers every Reserve with one free piece.
type station struct {
	*QUIC
	keys  *Keys
	beats atomic.Int64
	stop  func()
}

func open(t *testing.T, authority *Authority, name string) *station {
	t.Helper()
	identity, err := authority.Identity(name)
	if err != nil {
		t.Fatal(err)
	}
	s := &station{keys: NewKeys(identity)}
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

func (s *station) answer(_ context.Context, message *Message) *Message {
	if message.Heartbeat != nil {
		s.beats.Add(1)
		return nil
	}
	return &Message{Reserved: &Reserved{Free: 1, Refused: reason.Reason(message.Reserve.Worker)}}
}

// eventually waits for something that must come, however slow the machine.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("did not come: " + what)
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
	one, other := open(t, authority, "one"), open(t, authority, "other")
	defer one.stop()
	defer other.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	Convey("A question gets its answer", t, func() {
		question := &Message{Reserve: &Reserve{Worker: "w", Pieces: 3}}
		answer, err := one.Call(ctx, other.Address(), question)
		So(err, ShouldBeNil)
		So(*answer.Reserved, ShouldResemble, Reserved{Free: 1, Refused: "w"})
	})
	Convey("A heartbeat arrives, as a datagram or, when long, on a stream", t, func() {
		long := &Message{Heartbeat: &Heartbeat{Loads: make([]ServerLoad, 500)}}
		one.Send(other.Address(), &Message{Heartbeat: &Heartbeat{}})
		one.Send(other.Address(), long)
		eventually(t, "two heartbeats", func() bool { return other.beats.Load() == 2 })
	})
	Convey("An address where nobody listens is an error", t, func() {
		_, err := one.Call(ctx, "127.0.0.1:1", &Message{Reserve: &Reserve{}})
		So(err, ShouldNotBeNil)
	})
}

func TestStrangersAreRefused(t *testing.T) {
	ours := open(t, mustAuthority(t), "ours")
	defer ours.stop()
	stranger := open(t, mustAuthority(t), "stranger")
	defer stranger.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := stranger.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}})
	if err == nil {
		t.Fatal("a stranger got an answer")
	}
}

func TestClientWithoutCertificateIsRefused(t *testing.T) {
	authority := mustAuthority(t)
	ours, bare := open(t, authority, "ours"), open(t, authority, "bare")
	defer ours.stop()
	defer bare.stop()
	naked := *bare.keys.current.Load()
	naked.Certificate = tls.Certificate{}
	bare.keys.Replace(&naked)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := bare.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}}); err == nil {
		t.Fatal("a client without a certificate got an answer")
	}
	eventually(t, "the stranger is counted", func() bool { return ours.Strangers() == 1 })
}

func TestClientWithForeignKeyIsRefused(t *testing.T) {
	authority := mustAuthority(t)
	ours := open(t, authority, "ours")
	defer ours.stop()
	// The thief trusts our authority but was not signed by it.
	thief := open(t, mustAuthority(t), "thief")
	defer thief.stop()
	trusted, err := authority.Identity("trusted")
	if err != nil {
		t.Fatal(err)
	}
	forged := *thief.keys.current.Load()
	forged.Authorities = trusted.Authorities
	thief.keys.Replace(&forged)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := thief.Call(ctx, ours.Address(), &Message{Reserve: &Reserve{}}); err == nil {
		t.Fatal("a client with a foreign key got an answer")
	}
	eventually(t, "the stranger is counted", func() bool { return ours.Strangers() == 1 })
}

func TestKeysAreReplacedWhileRunning(t *testing.T) {
	first, second := mustAuthority(t), mustAuthority(t)
	one, other := open(t, first, "one"), open(t, first, "other")
	defer one.stop()
	defer other.stop()
	for _, s := range []*station{one, other} {
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
			t.Fatal("neither a message nor an error")
		}
	})
}
