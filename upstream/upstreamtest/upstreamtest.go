// Package upstreamtest plays servers whose answers are broken, for the tests of clients that read answers.
package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BrokenHeads returns the starts of answers, up to the empty line behind the head, that are no heads of valid answers, by name.
func BrokenHeads() map[string]string {
	return map[string]string{
		"no status":           "HTTP/1.1 000 Odd\r\n",
		"short status":        "HTTP/1.1 20 Odd\r\n",
		"low status":          "HTTP/1.1 099 Odd\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Y: z\r\n",
		"control byte":        "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n",
		"blank behind length": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
		"blank behind chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"chunks of HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"another version":     "HTTP/2.0 200 OK\r\n",
	}
}

// End is what a server does behind an answer.
type End bool

// Ends of a connection.
const (
	Close End = false
	Reset End = true
)

// Serve starts a server that reads the head of each request, writes text, and ends the connection. It returns its address.
func Serve(t testing.TB, text string, end End) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn.(*net.TCPConn), text, end)
		}
	}()
	return listener.Addr().String()
}

func answer(conn *net.TCPConn, text string, end End) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	// An error is that of a client that has left.
	_, _ = io.WriteString(conn, text)
	if end == Reset {
		_ = conn.SetLinger(0)
	}
}

// Handle starts a server of sound answers. It returns its address.
func Handle(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
