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
	// total counts the requests in flight of all teams, and shares adds up the
	// shares of the teams that have any.
	total  atomic.Int64
	shares atomic.Int64
}

// Place is a request's place within the caps. Leave gives it back.
type Place struct {
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

// SetInstances tells how many live instances share the caps.
func (a *Admission) SetInstances(n int) { a.instances.Store(int64(max(n, 1))) }

// noTeam stands for callers of no team, or of one that has no row.
var noTeam = &table.TeamView{Share: 1}

// Admit takes a place for the request, or says which cap refuses it.
func (a *Admission) Admit(service *table.ServiceView, team *table.TeamView) (*Place, reason.Reason) {
	if team == nil {
		team = noTeam
	}
	place := &Place{
		admission: a, service: counter(&a.services, service.Name), team: counter(&a.teams, team.Name), share: int64(team.Share),
	}
	if !a.enter(place.service, a.part(service.InFlight)) {
		return nil, reason.ServiceCap
	}
	if !a.enterTeam(place, a.part(team.InFlight)) {
		place.service.Add(-1)
		return nil, reason.TeamCap
	}
	a.total.Add(1)
	return place, reason.None
}

// Leave gives the place back.
func (p *Place) Leave() {
	p.service.Add(-1)
	p.admission.total.Add(-1)
	p.admission.leaveTeam(p)
}

// OverShare is the part of all requests in flight that are the team's, as a
// multiple of its part of the shares of the teams that have any: over 1, it
// has more than its share.
func (p *Place) OverShare() float64 {
	own, total := p.team.Load(), p.admission.total.Load()
	shares := p.admission.shares.Load()
	if total <= 0 || shares <= p.share {
		return 1
	}
	return float64(own*shares) / float64(total*p.share)
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

// enterTeam is enter, and counts the team's share from its first request on.
func (a *Admission) enterTeam(p *Place, limit int64) bool {
	now := p.team.Add(1)
	if now == 1 {
		a.shares.Add(p.share)
	}
	if now <= limit || limit == 0 {
		return true
	}
	a.leaveTeam(p)
	return false
}

// leaveTeam takes the share out again with the team's last request. Each
// change of the count from and to nought adds and takes one share, so the sum
// is exact whatever the order.
func (a *Admission) leaveTeam(p *Place) {
	if p.team.Add(-1) == 0 {
		a.shares.Add(-p.share)
	}
}

func counter(counters *sync.Map, name string) *atomic.Int64 {
	if found, ok := counters.Load(name); ok {
		return found.(*atomic.Int64)
	}
	found, _ := counters.LoadOrStore(name, new(atomic.Int64))
	return found.(*atomic.Int64)
}
