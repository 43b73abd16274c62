package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// Guards against a stopped stream that is cut because the engine that keeps its memory could not be connected to at once.
func TestStoppedStreamGoesOnAfterAFailedConnection(t *testing.T) {
	for name, failed := range map[string]*NotRunError{
		"refused":  {Why: reason.ConnectFailed, Detail: "connection reset"},
		"at limit": {Why: reason.ConnectFailed, AtLimit: true, Detail: "at the limit of connections"},
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				m := newMovingBench(b)
				decode := b.engines.decode
				b.engines.decode = func(server string, order DecodeRequest) error {
					if b.callCount("decode") == 2 {
						return failed
					}
					return decode(server, order)
				}
				m.onStop = func(stop func()) (PrefillHandle, error) {
					stop()
					return "kept", &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
				}
				m.drainAfter(300 * time.Millisecond)
				if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
					t.Errorf("%d of %d bytes, error %v, ran at %s", len(body), len(wholeMovable()), err, m.engineNames())
				}
				b.checkNothingHeld()
			})
		})
	}
}
