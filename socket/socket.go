// Package socket tells what the kernel holds for a socket and the process has not read yet.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsEmpty reports whether neither data nor the end of the stream waits to be read from a connection. Connections that are no
// sockets count as empty, and closed ones do not. A socket reports its error once (socket(7)), and poll(2) leaves it to the reader,
// while a peek would take it, so that the next read of a stream that was reset returned io.EOF.
func IsEmpty(conn net.Conn) bool {
	access, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		ready, failed := pollNow([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}})
		empty = ready == 0 && failed == nil
	})
	return err == nil && empty
}

// pollNow is poll(2) without a wait. It goes on after a signal.
func pollNow(fds []unix.PollFd) (ready int, err error) {
	for {
		ready, err = unix.Poll(fds, 0)
		if err != unix.EINTR {
			return ready, err
		}
	}
}

// Backlog returns the number of connections that wait to be accepted from a TCP listener; 0 if it is not known. For a socket that
// listens, the kernel states the length of its queue in place of the segments that are not acknowledged.
func Backlog(listener net.Listener) int {
	access, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	// An error is that of a closed listener, which has no queue.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
