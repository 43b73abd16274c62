package daemon

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// acceptPause is the pause after a connection could not be accepted. It leaves the process time to close files.
const acceptPause = 5 * time.Millisecond

// steadyListener accepts connections until it is closed. A server ends at the first connection that cannot be accepted, for example
// because the process has as many open files as it may have, and the instance with it.
type steadyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l steadyListener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if failures == 0 {
			klog.ErrorS(err, "Failed to accept a connection; trying again", "address", l.Addr().String())
		}
		time.Sleep(acceptPause)
	}
}
