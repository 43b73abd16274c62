package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// part is the start of an answer that ends with its connection, with a part of its body.
const part = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbegin"

// uploadBytes is more than the kernel holds for both ends of a connection, so that its write does not end unread.
const uploadBytes = 64 << 20

// orderedConn lets the reader wait for the writer, so that the write takes the error of the socket.
type orderedConn struct {
	net.Conn
	// beforeWrite and beforeEnd, if set, are called before each write, and before a read behind the first one.
	beforeWrite, beforeEnd func()
	// ended is closed when the write of a large request has ended.
	ended   chan struct{}
	endOnce sync.Once
	reads   int
}

func (c *orderedConn) Write(p []byte) (int, error) {
	if c.beforeWrite != nil {
		c.beforeWrite()
	}
	n, err := c.Conn.Write(p)
	if err != nil || n > maxSyncWrite {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 && c.beforeEnd != nil {
		c.beforeEnd()
	}
	return c.Conn.Read(p)
}

// oneServer serves one connection, and returns a pool for it whose connections prepare alters.
func oneServer(t *testing.T, serve func(conn *net.TCPConn), prepare func(*orderedConn)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	// A connection that is reset at once may fail to open.
	dialed := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-dialed
		serve(conn.(*net.TCPConn))
	}()
	config := DefaultConfig()
	config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ordered := &orderedConn{Conn: conn, ended: make(chan struct{})}
		prepare(ordered)
		close(dialed)
		return ordered, nil
	}
	return NewPool(listener.Addr().String(), config)
}

// upload sends a request with a body of that size, and returns what its caller gets.
func upload(t *testing.T, pool *Pool, method string, bytes int) (string, error) {
	t.Helper()
	conn, err := acquire(t.Context(), pool)
	if err != nil {
		t.Fatal(err)
	}
	message := messageOf("a")
	message.Method, message.Body = method, make([]byte, bytes)
	answer, err := conn.Do(t.Context(), message)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadAll(1 << 10)
	return string(body), err
}

// Guards against the part of an unframed answer that passes as whole because the write of a large request, which runs beside the
// read, took the error of the reset, so that the read meets the end of the stream.
func TestUnframedAnswerThatIsResetDuringTheWriteIsBroken(t *testing.T) {
	read := make(chan struct{})
	pool := oneServer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, part)
		<-read
		conn.SetLinger(0)
	}, func(c *orderedConn) {
		var once sync.Once
		c.beforeEnd = func() {
			once.Do(func() { close(read) })
			<-c.ended
		}
	})
	if got, err := upload(t, pool, http.MethodPost, uploadBytes); !errors.Is(err, ErrBroken) {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against the part of an unframed answer that passes as whole because a small request was written, in vain, after the reset.
func TestUnframedAnswerThatIsResetBeforeTheWriteIsBroken(t *testing.T) {
	reset := make(chan struct{})
	pool := oneServer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, part)
		conn.SetLinger(0)
		conn.Close()
		close(reset)
	}, func(c *orderedConn) {
		c.beforeWrite = func() { <-reset }
	})
	if got, err := upload(t, pool, http.MethodPost, 10); !errors.Is(err, ErrBroken) {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a whole unframed answer that is taken for broken, or waited for until the deadline, because its server closed its side
// orderly and reads no further (RFC 9112, sections 8 and 9.6).
func TestUnframedAnswerOfAServerThatStopsReadingIsWhole(t *testing.T) {
	for name, after := range map[string]func(conn *net.TCPConn, done <-chan struct{}){
		"half-closed, unread":      func(_ *net.TCPConn, done <-chan struct{}) { <-done },
		"half-closed, then reset":  func(conn *net.TCPConn, _ <-chan struct{}) { conn.SetLinger(0) },
		"half-closed, then read":   func(conn *net.TCPConn, _ <-chan struct{}) { io.Copy(io.Discard, conn) },
		"half-closed, then closed": func(conn *net.TCPConn, _ <-chan struct{}) { io.ReadFull(conn, make([]byte, 1<<20)) },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			pool := oneServer(t, func(conn *net.TCPConn) {
				io.WriteString(conn, part)
				conn.CloseWrite()
				after(conn, done)
			}, func(*orderedConn) {})
			got, err := upload(t, pool, http.MethodPost, uploadBytes)
			close(done)
			if got != "begin" || err != nil {
				t.Errorf("%q, %v", got, err)
			}
			if !pool.IsEmpty() {
				t.Error("the connection was kept")
			}
		})
	}
}

// Guards against whole answers that are lost because their server does not read the whole request.
func TestFramedAnswerThatComesEarlyIsWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 413 Large\r\nId: a\r\nContent-Length: 5\r\n\r\nbegin",
		"chunks": "HTTP/1.1 401 No\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := oneServer(t, func(conn *net.TCPConn) {
				io.WriteString(conn, answer)
				conn.SetLinger(0)
			}, func(*orderedConn) {})
			if got, err := upload(t, pool, http.MethodPost, uploadBytes); got != "begin" || err != nil {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against an answer without a body that is taken for one whose body has no known end.
func TestAnswerToHeadIsWholeBeforeAReset(t *testing.T) {
	reset := make(chan struct{})
	pool := oneServer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n")
		conn.SetLinger(0)
		conn.Close()
		close(reset)
	}, func(c *orderedConn) {
		c.beforeWrite = func() { <-reset }
	})
	if got, err := upload(t, pool, http.MethodHead, 0); got != "" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a reset at the end of a graceful shutdown that passes for the end of an unframed answer, since a check for bytes
// that wait to be read took its error.
func TestUnframedAnswerThatIsResetAtTheEndOfAShutdownIsBroken(t *testing.T) {
	read := make(chan struct{})
	reset := make(chan struct{})
	pool := oneServer(t, func(conn *net.TCPConn) {
		io.ReadFull(conn, make([]byte, len(messageOf("a").Head)))
		io.WriteString(conn, part)
		<-read
		conn.SetLinger(0)
		conn.Close()
		close(reset)
	}, func(*orderedConn) {})
	conn, err := acquire(t.Context(), pool)
	if err != nil {
		t.Fatal(err)
	}
	conn.raw = conn.raw.(*orderedConn).Conn
	conn.head.conn = conn.raw
	ctx, end := context.WithCancelCause(t.Context())
	answer, err := conn.Do(ctx, messageOf("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	close(read)
	<-reset
	end(ErrShutdownOver)
	awaitDeadline(t, conn)
	if got, err := answer.ReadAll(1 << 10); !errors.Is(err, ErrBroken) {
		t.Errorf("%q, %v", got, err)
	}
}
