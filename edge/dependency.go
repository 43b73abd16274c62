package edge

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
)

// dependency tracks whether something that the instance depends on answers,
// and logs when that changes.
type dependency struct {
	name string

	mu sync.Mutex
	// answered is when it answered last, and lost is set while it does not.
	answered time.Time
	lost     bool
}

func newDependency(name string) *dependency {
	return &dependency{name: name, answered: clock.Now()}
}

// ok notes an answer.
func (d *dependency) ok(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		klog.InfoS("Dependency regained", "dependency", d.name, "awayMillis", now.Sub(d.answered).Milliseconds())
	}
	d.answered, d.lost = now, false
}

// failed notes a call without a useful answer, and when it was made.
func (d *dependency) failed(now, asked time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		klog.InfoS("Dependency lost", "dependency", d.name, "err", err.Error(), "askedMillisAgo", now.Sub(asked).Milliseconds(),
			"answeredMillisAgo", now.Sub(d.answered).Milliseconds())
	}
	d.lost = true
}

// logStore logs a call to the store that failed and is not repeated at once.
func logStore(what string, err error) { klog.InfoS(what, "dependency", "store", "err", err.Error()) }
