package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control that sets TCP_USER_TIMEOUT on a
// new socket: bytes that stay unacknowledged for so long end the connection.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// silent says whether nothing, neither bytes nor an end, waits to be read from
// an idle connection.
func silent(conn net.Conn) bool {
	access, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, failed := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
	})
	return err == nil && quiet
}
