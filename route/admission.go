package route

import (
	"sync"
	"sync/atomic"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// Admission counts requests in flight per service and team and refuses requests over
// a cap. Each of n live instances enforces its share of a cap, rounded up, so that
// all instances together exceed it by at most n-1 requests.
type Admission struct {
	instances atomic.Int64
	services  sync.Map // service name -> *atomic.Int64
	teams     sync.Map // team name -> *atomic.Int64
	// total counts the requests in flight of all teams. activeShares is the sum of
	// the shares of the teams that have any in flight.
	total        atomic.Int64
	activeShares atomic.Int64
}

// AdmissionSlot is a request's slot within the caps. Release gives it back.
type AdmissionSlot struct {
	admission *Admission
	service   *atomic.Int64
	team      *atomic.Int64
	share     int64
}

// NewAdmission returns an Admission for one live instance.
func NewAdmission() *Admission {
	a := &Admission{}
	a.instances.Store(1)
	return a
}

// SetInstances sets the number of live instances that share the caps.
func (a *Admission) SetInstances(n int) { a.instances.Store(int64(max(n, 1))) }

// noTeam applies to callers without a team and to callers whose team has no row.
var noTeam = &table.TeamView{Share: 1}

// Admit reserves a slot for the request, or returns the cap that refuses it.
func (a *Admission) Admit(service *table.ServiceView, team *table.TeamView) (*AdmissionSlot, reason.Reason) {
	if team == nil {
		team = noTeam
	}
	slot := &AdmissionSlot{
		admission: a, service: counter(&a.services, service.Name), team: counter(&a.teams, team.Name), share: int64(team.Share),
	}
	if !a.increment(slot.service, a.localLimit(service.InFlight)) {
		return nil, reason.ServiceCap
	}
	if !a.incrementTeam(slot, a.localLimit(team.InFlight)) {
		slot.service.Add(-1)
		return nil, reason.TeamCap
	}
	a.total.Add(1)
	return slot, reason.None
}

// Release releases the slot.
func (p *AdmissionSlot) Release() {
	p.service.Add(-1)
	p.admission.total.Add(-1)
	p.admission.decrementTeam(p)
}

// ShareRatio returns the team's fraction of all requests in flight, divided by its
// fraction of the shares of all teams that have any in flight. Above 1 the team uses
// more than its share.
func (p *AdmissionSlot) ShareRatio() float64 {
	own, total := p.team.Load(), p.admission.total.Load()
	shares := p.admission.activeShares.Load()
	if total <= 0 || shares <= p.share {
		return 1
	}
	return float64(own*shares) / float64(total*p.share)
}

// localLimit returns this instance's share of a cap. 0 means no cap.
func (a *Admission) localLimit(limit int) int64 {
	n := a.instances.Load()
	return (int64(limit) + n - 1) / n
}

func (a *Admission) increment(count *atomic.Int64, limit int64) bool {
	if count.Add(1) <= limit || limit == 0 {
		return true
	}
	count.Add(-1)
	return false
}

// incrementTeam works like increment, and adds the team's share with its first
// request.
func (a *Admission) incrementTeam(p *AdmissionSlot, limit int64) bool {
	inFlight := p.team.Add(1)
	if inFlight == 1 {
		a.activeShares.Add(p.share)
	}
	if inFlight <= limit || limit == 0 {
		return true
	}
	a.decrementTeam(p)
	return false
}

// decrementTeam removes the team's share with its last request. Each change of the
// count from and to zero adds and removes one share, so the sum is exact in any
// order.
func (a *Admission) decrementTeam(p *AdmissionSlot) {
	if p.team.Add(-1) == 0 {
		a.activeShares.Add(-p.share)
	}
}

func counter(counters *sync.Map, name string) *atomic.Int64 {
	if found, ok := counters.Load(name); ok {
		return found.(*atomic.Int64)
	}
	found, _ := counters.LoadOrStore(name, new(atomic.Int64))
	return found.(*atomic.Int64)
}
