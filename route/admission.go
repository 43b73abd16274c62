package route

import (
	"sync"
	"sync/atomic"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// Admission counts requests in flight per service and team and refuses those
// over a cap. Each of n live instances enforces its part of a cap, rounded up,
// so that all together overshoot it by at most n-1 requests.
type Admission struct {
	instances atomic.Int64
	services  sync.Map // service name -> *atomic.Int64
	teams     sync.Map // team name -> *atomic.Int64
}

// NewAdmission returns an Admission for one live instance.
func NewAdmission() *Admission {
	a := &Admission{}
	a.instances.Store(1)
	return a
}

// SetInstances tells how many live instances share the caps.
func (a *Admission) SetInstances(n int) { a.instances.Store(int64(max(n, 1))) }

// Admit takes a place for the request, or says which cap refuses it. The
// returned function gives the place back.
func (a *Admission) Admit(service *table.ServiceView, team *table.TeamView) (leave func(), why reason.Reason) {
	serviceCount := counter(&a.services, service.Name)
	if !a.enter(serviceCount, a.part(service.InFlight)) {
		return nil, reason.ServiceCap
	}
	if team == nil {
		return func() { serviceCount.Add(-1) }, reason.None
	}
	teamCount := counter(&a.teams, team.Name)
	if !a.enter(teamCount, a.part(team.InFlight)) {
		serviceCount.Add(-1)
		return nil, reason.TeamCap
	}
	return func() {
		serviceCount.Add(-1)
		teamCount.Add(-1)
	}, reason.None
}

// part is this instance's part of a cap; 0 means no cap.
func (a *Admission) part(limit int) int64 {
	n := a.instances.Load()
	return (int64(limit) + n - 1) / n
}

func (a *Admission) enter(count *atomic.Int64, limit int64) bool {
	if count.Add(1) <= limit || limit == 0 {
		return true
	}
	count.Add(-1)
	return false
}

func counter(counters *sync.Map, name string) *atomic.Int64 {
	if found, ok := counters.Load(name); ok {
		return found.(*atomic.Int64)
	}
	found, _ := counters.LoadOrStore(name, new(atomic.Int64))
	return found.(*atomic.Int64)
}
