package edge

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
)

// dependency tracks whether a service that the instance depends on answers, and logs when that
// changes.
type dependency struct {
	name string

	mu sync.Mutex
	// answered is the time of the service's last answer, and lost is set while the service does
	// not answer.
	answered time.Time
	lost     bool
}

func newDependency(name string) *dependency {
	return &dependency{name: name, answered: clock.Now()}
}

// ok records an answer.
func (d *dependency) ok(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		klog.InfoS("Dependency recovered", "dependency", d.name, "awayMillis", now.Sub(d.answered).Milliseconds())
	}
	d.answered, d.lost = now, false
}

// failed records a call that was sent at sentAt and got no useful answer.
func (d *dependency) failed(now, sentAt time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		klog.InfoS("Dependency lost", "dependency", d.name, "err", err.Error(), "askedMillisAgo", now.Sub(sentAt).Milliseconds(),
			"answeredMillisAgo", now.Sub(d.answered).Milliseconds())
	}
	d.lost = true
}

// logStore logs a failed call to the store that is not retried immediately.
func logStore(what string, err error) { klog.InfoS(what, "dependency", "store", "err", err.Error()) }
