package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// backend is what a stand-in of a worker does with one request.
type backend interface {
	serve(c *workerConn, r *http.Request, body []byte)
}

// worker accepts connections for a backend and serves one request at a time on each.
type worker struct {
	listener net.Listener
	backend  backend

	mu    sync.Mutex
	conns map[*workerConn]bool
	ended bool
}

func listenWorker(address string, b backend) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{listener: listener, backend: b, conns: make(map[*workerConn]bool)}
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			c := &workerConn{raw: raw, in: bufio.NewReader(raw), worker: w, closed: make(chan struct{})}
			w.mu.Lock()
			if w.ended {
				w.mu.Unlock()
				raw.Close()
				continue
			}
			w.conns[c] = true
			w.mu.Unlock()
			go c.run()
		}
	}()
	return w, nil
}

// end closes the listener and all connections, as the kernel does when a process ends.
func (w *worker) end() {
	w.listener.Close()
	w.mu.Lock()
	w.ended = true
	conns := w.conns
	w.conns = make(map[*workerConn]bool)
	w.mu.Unlock()
	for c := range conns {
		c.raw.Close()
	}
}

// workerConn is one connection to a worker.
type workerConn struct {
	raw    net.Conn
	in     *bufio.Reader
	worker *worker
	// closed is closed once the other side has closed the connection.
	closed chan struct{}
	// extra is a second answer that is sent late: where the next answer is expected.
	extra []byte
	// last is set if the connection ends after this answer.
	last bool
}

func (c *workerConn) run() {
	defer func() {
		c.raw.Close()
		c.worker.mu.Lock()
		delete(c.worker.conns, c)
		c.worker.mu.Unlock()
	}()
	for !c.last {
		request, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(c.extra) > 0 {
			if _, err := c.raw.Write(c.extra); err != nil {
				return
			}
			c.extra = nil
		}
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := c.in.Peek(1); err != nil {
				close(c.closed)
			}
		}()
		c.worker.backend.serve(c, request, body)
		if c.last {
			return
		}
		<-watched
		select {
		case <-c.closed:
			return
		default:
		}
	}
}

// gone reports whether the other side has closed the connection.
func (c *workerConn) gone() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// pause waits. It returns false if the other side closes the connection meanwhile.
func (c *workerConn) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.closed:
		return false
	}
}

// head formats the start of an answer.
func head(status int, fields map[string]string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %s\r\n", name, fields[name])
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// whole formats a whole answer with a length.
func whole(status int, fields map[string]string, body []byte) []byte {
	all := map[string]string{"Content-Length": strconv.Itoa(len(body))}
	for name, value := range fields {
		all[name] = value
	}
	return append(head(status, all), body...)
}

// answer sends a whole answer with a length.
func (c *workerConn) answer(status int, fields map[string]string, body []byte) {
	if _, err := c.raw.Write(whole(status, fields, body)); err != nil {
		c.last = true
	}
}
