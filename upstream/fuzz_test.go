package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/net/http/httpguts"
)

// textConn is a connection to a server that sends a text and closes its side orderly.
type textConn struct {
	net.Conn
	io.Reader
}

func (c textConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (textConn) Write(p []byte) (int, error)      { return len(p), nil }
func (textConn) SetDeadline(time.Time) error      { return nil }
func (textConn) SetWriteDeadline(time.Time) error { return nil }
func (textConn) Close() error                     { return nil }

// answerFrom reads the answer to a request from what a connection brings.
func answerFrom(t *testing.T, text io.Reader) (*Answer, []byte, error) {
	t.Helper()
	config := DefaultConfig()
	config.Dial = func(context.Context, string, string) (net.Conn, error) { return textConn{Reader: text}, nil }
	conn, err := NewPool("test", config).Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	answer, err := conn.Do(t.Context(), messageOf("a"))
	if err != nil {
		return nil, nil, err
	}
	defer answer.Close()
	body, err := answer.ReadAll(1 << 20)
	return answer, body, err
}

// Guards against bytes that are no valid answer and pass as one, and against an answer that depends on the pieces in which its bytes come.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		answerTo("a", "one"), "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + answerTo("a", "one"), answerTo("other", "one") + answerTo("a", "two"),
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX: y\r\n\r\n", part, "HTTP/1.0 200 OK\nId: a\n\nx",
		"HTTP/1.1 200 OK\r\nId: a\r\nX Y: z\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 3\r\n\r\none", "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n z\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		answer, body, err := answerFrom(t, bytes.NewReader(text))
		pieces, again, failed := answerFrom(t, iotest.OneByteReader(bytes.NewReader(text)))
		if (err == nil) != (failed == nil) || !bytes.Equal(body, again) {
			t.Fatalf("%q, %v in one piece; %q, %v byte by byte", body, err, again, failed)
		}
		if err != nil {
			return
		}
		if answer.StatusCode != pieces.StatusCode || answer.StatusCode < http.StatusOK || answer.ProtoMajor != 1 {
			t.Fatalf("status %d and %d, version %s", answer.StatusCode, pieces.StatusCode, answer.Proto)
		}
		for _, fields := range []http.Header{answer.Header, answer.Trailer} {
			for name, values := range fields {
				for _, value := range values {
					if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
						t.Fatalf("field %q: %q", name, value)
					}
				}
			}
		}
	})
}
