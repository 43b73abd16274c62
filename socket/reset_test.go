package socket

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a check that takes the error of a reset from the socket, so that the next read returns io.EOF.
func TestCheckLeavesTheErrorToTheReader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	caller.(*net.TCPConn).SetLinger(0)
	caller.Close()
	awaitTrue(t, "the reset has not come", func() bool { return !IsEmpty(conn) })
	if IsEmpty(conn) {
		t.Error("a connection that was reset counts as empty")
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after the check: %v", err)
	}
}
