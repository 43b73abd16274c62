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

// assumedInstances is the number of instances assumed until siblings are known. A share that is
// too small costs a retry, one that is too large exceeds the budget.
const assumedInstances = 16

func newBudgets(ratio, slack float64, window time.Duration) *budgets {
	return &budgets{ratio: ratio, slack: slack, window: window, instances: assumedInstances, byService: make(map[string]*route.SharedBudget)}
}

func (b *budgets) forService(service string) *route.SharedBudget {
	b.mu.RLock()
	found := b.byService[service]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if found = b.byService[service]; found == nil {
		found = route.NewSharedBudget(b.ratio, b.window, b.slackShare(), clock.Now())
		b.byService[service] = found
	}
	return found
}

func (b *budgets) slackShare() float64 { return b.slack / float64(b.instances) }

// setInstances divides the slack of each service's retry budget among the given number of
// instances.
func (b *budgets) setInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if instances == b.instances {
		return
	}
	b.instances = instances
	for _, budget := range b.byService {
		budget.SetAllowance(b.slackShare(), clock.Now())
	}
}

// Instances returns an upper bound of the number of instances that share budgets and limits:
// this one and every sibling that was recently in contact with it or with its hub.
func (in *Instance) Instances() int {
	return max(len(in.members.View().Siblings)+1, in.hubs.count(clock.Now()))
}

// budgetInstances returns the number of instances by which this one divides budgets. An
// instance that has just started does not know all siblings yet, so it assumes at least
// assumedInstances.
func (in *Instance) budgetInstances(now time.Time) int {
	instances := in.Instances()
	if now.Sub(in.started) < in.config.HubGrace {
		instances = max(instances, assumedInstances)
	}
	return instances
}

// RetriesLeft returns the sum of the retries left in the budgets of all services.
func (in *Instance) RetriesLeft() float64 {
	in.budgets.mu.RLock()
	defer in.budgets.mu.RUnlock()
	left := 0.0
	for _, budget := range in.budgets.byService {
		left += budget.Left(clock.Now())
	}
	return left
}
