package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client and what it got.
type sent struct {
	id, path, at string
	// parts is the prompt's prefix; empty for two parts that no other request has.
	parts        string
	began, ended time.Time
	status       int
	signature    string
	body         string
	err          error
}

// clients send requests at a steady rate, each client over connections of its own.
type clients struct {
	*deployment
	mu   sync.Mutex
	done []sent
	idle map[string][]*clientConn
	wait sync.WaitGroup
}

type clientConn struct {
	raw    net.Conn
	reader *bufio.Reader
}

func newClients(d *deployment) *clients {
	return &clients{deployment: d, idle: make(map[string][]*clientConn)}
}

// send sends rate requests a second on a path to instances at random for a time, in the background.
func (c *clients) send(path string, rate, seconds float64) {
	c.wait.Go(func() {
		until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		for time.Now().Before(until) {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			c.wait.Go(func() { c.one(path, "") })
		}
	})
}

// one sends one request.
func (c *clients) one(path, parts string) string {
	c.deployment.mu.Lock()
	i := c.instances[rand.IntN(len(c.instances))]
	c.deployment.mu.Unlock()
	s := sent{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, parts: parts, at: i.name, began: time.Now()}
	c.line("sent", "id", s.id, "path", path, "to", i.name)
	c.exchange(&s, i.front())
	s.ended = time.Now()
	c.line("answered", "id", s.id, "status", s.status, "signature", s.signature, "bytes", len(s.body), "err", s.err)
	c.mu.Lock()
	c.done = append(c.done, s)
	c.mu.Unlock()
	return s.id
}

// exchange sends a request on a connection that is kept, or a new one.
func (c *clients) exchange(s *sent, address string) {
	conn, err := c.connect(address)
	if err != nil {
		s.err = err
		return
	}
	deadline := 4000
	var head strings.Builder
	method, body := http.MethodPost, strings.Repeat("x", 600)
	if s.path == pathSafe {
		method, body = http.MethodGet, ""
	}
	if s.path == pathStream || s.path == pathResume {
		deadline = 14000
		parts := s.parts
		if parts == "" {
			parts = fmt.Sprintf("%08x:200,%08x:3000", rand.Uint32(), rand.Uint32())
		}
		fmt.Fprintf(&head, "Mastwheel-Model: m\r\nMastwheel-Token-Counts: 3200,640\r\nMastwheel-Prompt-Prefix: %s\r\n", parts)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = conn.raw.SetDeadline(time.Now().Add(time.Duration(deadline+1000) * time.Millisecond))
	_, err = fmt.Fprintf(conn.raw, "%s %s%x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nMastwheel-Deadline-Ms: %d\r\n%s\r\n%s",
		method, s.path, rand.Uint32(), hostName, headerTried, s.id, deadline, head.String(), body)
	if err != nil {
		conn.raw.Close()
		s.err = err
		return
	}
	answer, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		conn.raw.Close()
		s.err = err
		return
	}
	raw, err := io.ReadAll(answer.Body)
	s.status, s.signature, s.body, s.err = answer.StatusCode, answer.Header.Get("Mastwheel-Server-Signature"), string(raw), err
	if err != nil || answer.Close {
		conn.raw.Close()
		return
	}
	c.mu.Lock()
	c.idle[address] = append(c.idle[address], conn)
	c.mu.Unlock()
}

func (c *clients) connect(address string) (*clientConn, error) {
	c.mu.Lock()
	if kept := c.idle[address]; len(kept) > 0 {
		conn := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{raw: raw, reader: bufio.NewReader(raw)}, nil
}

// all waits for the ends of all requests and returns them.
func (c *clients) all() []sent {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// mixed returns the successes that are not the whole answer of the worker that ran the request (rule MIXED).
func (c *clients) mixed() (broken []string) {
	all := c.all()
	answers := make(map[string][]answered)
	for _, w := range c.deployment.all() {
		w.mu.Lock()
		for id, answer := range w.answers {
			answers[id] = append(answers[id], answer)
		}
		w.mu.Unlock()
	}
	for _, s := range all {
		if s.err != nil || s.status < 200 || s.status > 299 {
			continue
		}
		switch {
		case s.signature == "":
			broken = append(broken, fmt.Sprintf("%s: status %d without a signature, body %.60q", s.id, s.status, s.body))
		case s.path == pathStream || s.path == pathResume:
			if s.body != wholeStream(s.id) {
				broken = append(broken, fmt.Sprintf("%s: status %d with a body that isn't its stream: %.60q", s.id, s.status, s.body))
			}
		case !matches(s, answers[s.id]):
			broken = append(broken, fmt.Sprintf("%s: status %d with a body that isn't its worker's: %.60q", s.id, s.status, s.body))
		}
	}
	return broken
}

// wholeStream is the whole stream of a request, which may come of several workers.
func wholeStream(id string) string {
	var whole strings.Builder
	for event := 1; event <= eventCount; event++ {
		whole.WriteString(eventText(id, event))
	}
	return whole.String()
}

func matches(s sent, answers []answered) bool {
	for _, answer := range answers {
		if answer.status == s.status && answer.signature == s.signature && answer.body == s.body {
			return true
		}
	}
	return false
}

// statuses counts the ends of the requests.
func (c *clients) statuses() map[string]int {
	counts := make(map[string]int)
	for _, s := range c.all() {
		if s.err != nil {
			counts["error"]++
		} else {
			counts[fmt.Sprint(s.status)]++
		}
	}
	return counts
}
