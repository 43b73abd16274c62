package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// roundTrip sends a request through a transport, and returns what its answer has.
func roundTrip(t *testing.T, transport *Transport, method, address, body string) (status int, got string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/x?y=z", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

func newTransport() *Transport {
	config := DefaultConfig()
	// Opening a connection may take long on a busy machine.
	config.DialTimeout = 10 * time.Second
	return NewTransport(config)
}

// Guards against a client of another peer that reads answers by laxer rules than those of the backend servers.
func TestTransportReadsAnswersByTheRulesOfThePackage(t *testing.T) {
	for name, text := range map[string]string{
		"no status":          "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\none",
		"blank in a name":    "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 3\r\n\r\none",
		"blank in a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX Y: z\r\n\r\n",
		"another version":    "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\none",
		"cut":                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\none, cut",
		"head without end":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadBytes),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, text, answerTo("a", "two"))
			transport := newTransport()
			address := s.listener.Addr().String()
			if status, got, err := roundTrip(t, transport, http.MethodPost, address, "x"); !errors.Is(err, ErrBroken) {
				t.Errorf("status %d, %q, %v", status, got, err)
			}
			if status, got, err := roundTrip(t, transport, http.MethodPost, address, "x"); status != http.StatusOK || got != "two" || err != nil {
				t.Errorf("the next request got status %d, %q, %v", status, got, err)
			}
		})
	}
}

// Guards against an unframed answer that passes as whole though it was reset while the request was written.
func TestTransportFailsForAnUnframedAnswerThatIsReset(t *testing.T) {
	pool := oneServer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, part)
		conn.SetLinger(0)
	}, func(c *orderedConn) {
		c.beforeEnd = func() { <-c.ended }
	})
	transport := NewTransport(pool.config)
	if status, got, err := roundTrip(t, transport, http.MethodPost, pool.address, strings.Repeat("x", uploadBytes/4)); !errors.Is(err, ErrBroken) {
		t.Errorf("status %d, %q, %v", status, got, err)
	}
}

// Guards against a connection that is opened for each request, and one that is kept past its time.
func TestTransportKeepsConnectionsForAWhile(t *testing.T) {
	s := newScriptedServer(t, answerTo("a", "one"), "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=999\r\nContent-Length: 3\r\n\r\ntwo")
	config := newTransport().config
	config.IdleTimeout = 50 * time.Millisecond
	transport := NewTransport(config)
	for _, want := range []string{"one", "two"} {
		// A slow machine may let a connection go between the two.
		if status, got, err := roundTrip(t, transport, http.MethodGet, s.listener.Addr().String(), ""); status != http.StatusOK || got != want || err != nil {
			t.Fatalf("status %d, %q, %v", status, got, err)
		}
	}
	forgotten := func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		return len(transport.pools) == 0
	}
	for start := time.Now(); !forgotten(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			t.Fatal("an idle connection is kept")
		}
	}
}

// Guards against a request that changes something and is sent twice, and one that changes nothing and fails because the server closed an
// idle connection as it was sent.
func TestTransportRepeatsOnlySafeRequests(t *testing.T) {
	for method, repeated := range map[string]bool{http.MethodGet: true, http.MethodPost: false} {
		t.Run(method, func(t *testing.T) {
			s := newScriptedServer(t, answerTo("a", "one"), "close", answerTo("a", "two"))
			transport := newTransport()
			address := s.listener.Addr().String()
			if _, _, err := roundTrip(t, transport, method, address, ""); err != nil {
				t.Fatal(err)
			}
			_, got, err := roundTrip(t, transport, method, address, "")
			if (err == nil && got == "two") != repeated || (err != nil && !errors.Is(err, ErrBroken)) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against a request to a scheme that would be sent in the clear.
func TestTransportRefusesOtherSchemes(t *testing.T) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://127.0.0.1:1/", bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	if response, err := newTransport().RoundTrip(request); !errors.Is(err, ErrNotSent) || !strings.Contains(err.Error(), "scheme") {
		t.Errorf("%+v, %v", response, err)
	}
}
