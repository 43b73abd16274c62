package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the instances.
type clients struct {
	stride    int
	record    *record
	instances []*daemon
	client    *http.Client
	wait      sync.WaitGroup
	// crowded is set while many users come at once.
	crowded atomic.Bool
}

func newClients(r *record, d *deployment) *clients {
	return &clients{stride: d.sheet.stride, record: r, instances: d.instances, client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	}}}
}

func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   []byte
	// err is set if no whole answer came.
	err error
}

func (r reply) success() bool { return r.err == nil && r.status >= 200 && r.status < 300 }

func (c *clients) send(method, path, attempt string, budget time.Duration, fields map[string]string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	to := c.instances[rand.IntN(len(c.instances))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = hostName
	request.Header.Set("Mastwheel-Attempt-Id", attempt)
	request.Header.Set("Mastwheel-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	got := reply{status: answer.StatusCode, header: answer.Header}
	got.body, got.err = io.ReadAll(answer.Body)
	return got
}

// stream sends one request of the model service and checks what it gets.
func (c *clients) stream(path string, prompt, mostEvents int) {
	attempt := attemptID()
	total := eventsOf(attempt, mostEvents)
	c.record.note("client sends %s %s, %d prompt tokens, %d events", attempt, path, prompt, total)
	got := c.send(http.MethodPost, path+"x", attempt, 14*time.Second, map[string]string{
		"Mastwheel-Model":         "m",
		"Mastwheel-Token-Counts":  fmt.Sprintf("%d,%d", prompt, mostEvents*c.stride),
		"Mastwheel-Length-Hint":   fmt.Sprint(total * c.stride),
		"Mastwheel-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%s:%d", attempt[:8], prompt-100),
	}, []byte("a long file"))
	c.record.note("client got %s: status %d, %d bytes, err %v", attempt, got.status, len(got.body), got.err)
	if !got.success() {
		c.record.count(fmt.Sprintf("streams that ended with status %d, broken off %t", got.status, got.err != nil))
		return
	}
	c.record.count("streams that ended as complete")
	if got.header.Get("Mastwheel-Server-Signature") == "" {
		c.record.breaks("MIXED: %s got a success without a worker's signature: %.80q", attempt, got.body)
		return
	}
	events := strings.Split(strings.TrimSuffix(string(got.body), "\n\n"), "\n\n")
	for i, event := range events {
		if want := fmt.Sprintf("id: %d\ndata: %s %d of %d ", i+1, attempt, i+1, total); !strings.HasPrefix(event, want) {
			c.record.breaks("MIXED: event %d of %s isn't its own: %.60q", i+1, attempt, event)
			return
		}
	}
	if len(events) != total {
		c.record.breaks("ORDER: the stream %s ended as complete after event %d of %d", attempt, len(events), total)
	}
}

// load is one kind of requests of the model service: how many a second, and their mean size.
type load struct {
	perSecond      float64
	prompt, events int
}

// dossiers is the load of the sheet's streams.
var dossiers = load{10.4, 4900, 100}

// crowd is how many times more requests there are while many users come at once.
const crowd = 4.2

// streams sends requests of the model service until an end, more of them while many users come at once.
func (c *clients) streams(path string, of load, until time.Time) {
	for time.Now().Before(until) {
		rate := of.perSecond
		if c.crowded.Load() {
			rate *= crowd
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		prompt := 100 + max(50, min(10900, int(float64(of.prompt)*(1+0.5*rand.NormFloat64()))))
		most := max(5, min(170, int(float64(of.events)*(1+0.7*rand.NormFloat64()))))
		c.wait.Go(func() { c.stream(path, prompt, most) })
	}
}

// comeAtOnce has many users come at once for a while.
func (c *clients) comeAtOnce(d time.Duration) {
	c.crowded.Store(true)
	time.AfterFunc(d, func() { c.crowded.Store(false) })
}
