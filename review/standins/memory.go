package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory in KB that a process may use, as its settings say.
	memoryLimit = 134 * 1024
	// largeBody is the size of a large body, below the limit of the manifest.
	largeBody = 4_000_000
	// uploads is how many clients of one instance send such a body at once, and uploadRate the bytes a second
	// of each, so that together they stay below the link of the instance.
	uploads    = 16
	uploadRate = 7_500_000
)

// pacedBody is a body that comes at a rate.
type pacedBody struct {
	left  int
	began time.Time
	sent  int
}

func (p *pacedBody) Read(to []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	if p.began.IsZero() {
		p.began = time.Now()
	}
	n := min(len(to), p.left, 64<<10)
	p.left -= n
	p.sent += n
	time.Sleep(time.Until(p.began.Add(time.Duration(float64(p.sent) / uploadRate * float64(time.Second)))))
	for i := range n {
		to[i] = 'b'
	}
	return n, nil
}

// memoryOf returns the memory in KB that a process uses; 0 if it has ended.
func memoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

// limitMemory kills an instance whose process uses more memory than its settings allow, as the platform
// does, and starts it again.
func (d *deployment) limitMemory(one *daemon, until time.Time) {
	for time.Now().Before(until) {
		if used := memoryOf(one.pid()); used > memoryLimit {
			d.record.note("the process of %s uses %d KB and is killed, %d KB are the limit", one.name, used, memoryLimit)
			d.record.count("processes that were killed for their memory")
			one.ends.Add(1)
			one.stop()
			time.Sleep(300 * time.Millisecond)
			if err := d.startInstance(one); err != nil {
				d.record.note("%s did not start again: %v", one.name, err)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// upload sends a large request to one instance and notes what becomes of it.
func (c *clients) upload(one *daemon, size int) {
	attempt := attemptID()
	request, err := http.NewRequest(http.MethodPost, "http://"+one.front+pathUnsafe+"x", &pacedBody{left: size})
	if err != nil {
		return
	}
	request.ContentLength = int64(size)
	request.Host = hostName
	request.Header.Set("Mastwheel-Attempt-Id", attempt)
	request.Header.Set("Mastwheel-Deadline-Ms", fmt.Sprint(plainBudget.Milliseconds()))
	c.record.note("client sends %s to %s, %d bytes", attempt, one.name, size)
	answer, err := c.client.Do(request)
	if err != nil {
		c.record.note("client got %s: err %v", attempt, err)
		c.record.count(fmt.Sprintf("requests of %d bytes without an answer", size))
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	c.record.note("client got %s: status %d, %d bytes, err %v", attempt, answer.StatusCode, len(body), err)
	c.record.count(fmt.Sprintf("requests of %d bytes answered with %d", size, answer.StatusCode))
}

// large has many clients send large bodies at once, four times.
func large(r *record, d *deployment) error {
	d.configure()
	for number := range 4 {
		if _, err := startPlain(r, d, number, "framed"); err != nil {
			return err
		}
	}
	if err := d.startInstances(2); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c := newClients(r, d)
	until := time.Now().Add(40 * time.Second)
	for _, one := range d.instances {
		go d.limitMemory(one, until)
	}
	go c.plainCalls(http.MethodGet, pathSafe, 18, until)
	size := 600
	if trouble() {
		size = largeBody
	}
	for time.Now().Before(until.Add(-8 * time.Second)) {
		time.Sleep(4 * time.Second)
		for _, one := range d.instances {
			for range uploads {
				c.wait.Go(func() { c.upload(one, size) })
			}
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(time.Until(until))
	c.wait.Wait()
	often := 0
	for _, one := range d.instances {
		if one.ends.Load() >= 3 {
			often++
		}
	}
	if often >= 2 {
		r.breaks("Fault: on %d of %d machines the process has ended by itself three times or more, with its memory over the limit", often, len(d.instances))
	}
	return nil
}
