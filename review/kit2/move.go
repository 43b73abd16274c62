package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// memoryCopy is the copy of a run's memory, or what is left of a run that was stopped.
type memoryCopy struct {
	run    string
	until  time.Time
	to     string
	events int
}

// running is a stream that runs.
type running struct {
	began  time.Time
	stop   chan struct{}
	ended  chan struct{}
	events int
	moving bool
	// handle is that of the copy to a destination.
	handle, to string
}

// take takes the memory of a prompt or of a run by "ip:port/handle".
func (c *conn) take(source, id string) bool {
	address, handle, _ := strings.Cut(source, "/")
	for _, w := range c.all() {
		if w.address() != address {
			continue
		}
		w.mu.Lock()
		until, kept := w.handles[handle]
		copied := w.copies[handle]
		if copied != nil && copied.to != c.address() && address != c.address() {
			copied = nil
		}
		delete(w.handles, handle)
		if copied != nil {
			delete(w.copies, handle)
		}
		w.mu.Unlock()
		if copied != nil && time.Now().Before(copied.until) {
			if copied.run != id {
				c.line("memory of another request", "id", id, "of", copied.run)
				return false
			}
			return true
		}
		if kept && time.Now().Before(until) {
			return true
		}
	}
	return false
}

// stream writes the events of a stream from the one after first on.
func (c *conn) stream(id string, first int) bool {
	now := &running{began: time.Now(), stop: make(chan struct{}), ended: make(chan struct{}), events: first}
	c.mu.Lock()
	c.running[id] = now
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		if c.running[id] == now {
			delete(c.running, id)
		}
		c.mu.Unlock()
		close(now.ended)
	}()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nMastwheel-Server-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerTried, id, c.signature(id))
	if _, err := io.WriteString(c.raw, head); err != nil {
		return false
	}
	var whole strings.Builder
	for event := first + 1; event <= eventCount; event++ {
		select {
		case <-now.stop:
			c.line("stopped", "id", id, "worker", c.id, "events", now.events)
			return false
		case <-time.After(eventPause):
		}
		text := eventText(id, event)
		whole.WriteString(text)
		if _, err := fmt.Fprintf(c.raw, "%x\r\n%s\r\n", len(text), text); err != nil {
			c.line("broken off", "id", id, "worker", c.id)
			return false
		}
		c.mu.Lock()
		now.events = event
		c.mu.Unlock()
	}
	c.done(id, http.StatusOK, whole.String())
	_, err := io.WriteString(c.raw, "0\r\n\r\n")
	return err == nil
}

// move copies the memory of a run to another engine. With last set the run stops first.
func (c *conn) move(r *http.Request, body []byte) bool {
	var call struct {
		ID          string `json:"id"`
		Destination string `json:"destination"`
		Last        bool   `json:"last"`
	}
	if json.Unmarshal(body, &call) != nil {
		return c.send(r, http.StatusBadRequest, nil)
	}
	c.mu.Lock()
	now := c.running[call.ID]
	if now == nil || now.moving {
		c.mu.Unlock()
		status := http.StatusNotFound
		if now != nil {
			status = http.StatusConflict
		}
		c.line("move refused", "id", call.ID, "worker", c.id, "last", call.Last, "status", status)
		return c.send(r, status, nil)
	}
	now.moving = true
	c.mu.Unlock()
	if call.Last {
		close(now.stop)
		<-now.ended
	}
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	if now.handle == "" || now.to != call.Destination {
		now.handle, now.to = fmt.Sprintf("%012x", rand.Int64N(1<<48)), call.Destination
	}
	handle, events := now.handle, now.events
	c.copies[handle] = &memoryCopy{run: call.ID, until: time.Now().Add(2 * handleKept), to: call.Destination, events: events}
	now.moving = call.Last
	c.mu.Unlock()
	c.line("moved", "id", call.ID, "worker", c.id, "last", call.Last, "handle", handle, "events", events)
	return c.sendJSON(r, map[string]any{"kvHandle": handle, "eventCount": events})
}

// eventText is one event of the stream of a request.
func eventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
}
