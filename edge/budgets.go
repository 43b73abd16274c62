package edge

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/route"
)

// budgets holds this instance's share of each service's retry budget.
type budgets struct {
	ratio, slack float64
	window       time.Duration

	mu        sync.RWMutex
	instances int
	byService map[string]*route.SharedBudget
}

// unknownInstances stands in until siblings are known: a share that is too
// small costs a retry, one that is too large breaks the budget.
const unknownInstances = 16

func newBudgets(ratio, slack float64, window time.Duration) *budgets {
	return &budgets{ratio: ratio, slack: slack, window: window, instances: unknownInstances, byService: make(map[string]*route.SharedBudget)}
}

func (b *budgets) of(service string) *route.SharedBudget {
	b.mu.RLock()
	found := b.byService[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if found = b.byService[service]; found == nil {
		found = route.NewSharedBudget(b.ratio, b.window, b.part(), clock.Now())
		b.byService[service] = found
	}
	return found
}

func (b *budgets) part() float64 { return b.slack / float64(b.instances) }

// share divides the slack among that many instances.
func (b *budgets) share(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if instances == b.instances {
		return
	}
	b.instances = instances
	for _, budget := range b.byService {
		budget.SetPart(b.part(), clock.Now())
	}
}

// Instances returns how many instances share what is shared, at the most: this
// one and every sibling that was heard lately, by itself or by its hub.
func (in *Instance) Instances() int {
	return max(len(in.members.View().Siblings)+1, in.hubs.count(clock.Now()))
}

// sharing returns how many instances this one divides budgets by. One that has just
// started has not heard of all.
func (in *Instance) sharing(now time.Time) int {
	instances := in.Instances()
	if now.Sub(in.started) < in.config.HubGrace {
		instances = max(instances, unknownInstances)
	}
	return instances
}

// RetriesLeft returns the retries that are left over all services.
func (in *Instance) RetriesLeft() float64 {
	in.budgets.mu.RLock()
	defer in.budgets.mu.RUnlock()
	left := 0.0
	for _, budget := range in.budgets.byService {
		left += budget.Left(clock.Now())
	}
	return left
}
