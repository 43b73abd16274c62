// Package member decides which sibling instances are alive, from their heartbeats and
// from the platform's lagging instance list. It does no I/O and reads no clock.
package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/operation"
)

// State is the state of a sibling in this instance's view.
type State string

const (
	Alive State = "alive"
	// Suspect: the sibling has been silent for SuspectAfter. It gets no new work and
	// keeps what it has.
	Suspect State = "suspect"
	// Dead: the sibling has been silent for long enough that the work it left behind is
	// cleaned up.
	Dead State = "dead"
	// Leaving: the sibling is draining. It is no longer named to callers, and it still
	// serves.
	Leaving State = "leaving"
)

// Config sets the parameters of failure detection.
type Config struct {
	// HeartbeatEvery is the interval between heartbeats. A shorter one detects failures
	// sooner, and costs bandwidth in proportion to the number of members of a cell (the
	// group of instances that know each other fully).
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a member gets no new work. It should be
	// longer than a few lost heartbeats and an ordinary pause.
	SuspectAfter time.Duration
	// DeadAfter is the silence, towards every sibling that was queried, after which a member
	// that is no longer on the platform's instance list counts as dead and its streams are
	// cancelled. If it is too short, the work of an instance that was only paused is cancelled.
	// If it is too long, decode memory is held for callers that are gone.
	DeadAfter time.Duration
	// AbandonAfter is the silence after which a member counts as dead even if the instance list
	// shows it, since the list may be unavailable or wrong. It must be longer than the
	// partitions that streams are meant to survive.
	AbandonAfter time.Duration
	// ForgetAfter is how long a dead member is remembered, so that its incarnation is
	// known to be dead rather than unknown.
	ForgetAfter time.Duration
}

// DefaultCell returns the settings for cells of a larger region: heartbeats half as
// often, and a longer SuspectAfter to match.
func DefaultCell() Config {
	config := DefaultRegion()
	config.HeartbeatEvery = time.Second
	config.SuspectAfter = 3500 * time.Millisecond
	return config
}

// DefaultRegion returns the settings for instances of one region, a few milliseconds
// apart.
func DefaultRegion() Config {
	return Config{
		HeartbeatEvery: 500 * time.Millisecond,
		SuspectAfter:   2 * time.Second,
		DeadAfter:      5 * time.Second,
		AbandonAfter:   time.Minute,
		ForgetAfter:    10 * time.Minute,
	}
}

// Info is what an instance reports about itself in a heartbeat.
type Info struct {
	Name        string                `cbor:"1,keyasint" json:"name"`
	Incarnation operation.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Zone, Caller and Peer do not change while an instance runs. Most heartbeats leave
	// them out.
	Zone string `cbor:"3,keyasint,omitempty" json:"zone"`
	// Caller is the TCP address for callers, and Peer the UDP address for siblings,
	// each "ip:port".
	Caller string `cbor:"4,keyasint,omitempty" json:"caller"`
	Peer   string `cbor:"5,keyasint,omitempty" json:"peer"`
	// Draining is set once the instance has started a graceful shutdown.
	Draining bool `cbor:"6,keyasint,omitempty" json:"draining,omitempty"`
	// Uptime is the reading of the instance's monotonic clock when it sent the
	// heartbeat.
	Uptime time.Duration `cbor:"7,keyasint" json:"uptime"`
	// Revision is the revision of the operators' table that is in force on the instance,
	// and Next the offset of the next record of the platform's log that it needs.
	Revision uint64 `cbor:"8,keyasint" json:"revision"`
	Next     uint64 `cbor:"10,keyasint" json:"next_offset"`
	// InFlight is the number of requests whose home (the instance that the caller is connected
	// to) is the instance.
	InFlight int `cbor:"9,keyasint" json:"in_flight"`
	// Cell is the cell that the instance belongs to.
	Cell string `cbor:"11,keyasint,omitempty" json:"cell"`
	// Capacity is the processor time that the instance may use, in thousandths of a
	// core. It is 0 if the instance does not report it.
	Capacity int `cbor:"12,keyasint,omitempty" json:"capacity,omitempty"`
	// CutOff is set if the instance reaches no server of some service.
	CutOff bool `cbor:"14,keyasint,omitempty" json:"cut_off,omitempty"`
	// UsesSubset is set if the instance knows only a subset of the list of backend servers.
	UsesSubset bool `cbor:"13,keyasint,omitempty" json:"part,omitempty"`
}

// Member returns the identity of this run of the instance.
func (i Info) Member() operation.Member {
	return operation.Member{Name: i.Name, Incarnation: i.Incarnation}
}

// Brief returns the heartbeat without the fields that its receivers already know.
func (i Info) Brief() Info {
	i.Zone, i.Caller, i.Peer = "", "", ""
	return i
}

// Sibling is one member in this instance's view.
type Sibling struct {
	Info
	State State `json:"state"`
	// LastContact is when its last heartbeat arrived at this instance, and LastContactAnywhere the
	// latest time of contact that any sibling reports.
	LastContact         time.Time `json:"heard"`
	LastContactAnywhere time.Time `json:"heard_anywhere"`
	// Reported is the member's state as last reported by another instance, which receives
	// the member's heartbeats directly or passes on such a report. It is empty if there was
	// no report.
	Reported State `json:"reported,omitempty"`
	// Observed is when the state was observed first-hand, by this instance or by another
	// instance whose report was passed on.
	Observed time.Time `json:"observed,omitzero"`
	// reportObserved is the time of the first-hand observation behind Reported.
	reportObserved time.Time
	// Vouched is when another instance observed that the member was alive, according to a
	// report of a later heartbeat than the last one known here.
	Vouched time.Time `json:"vouched,omitzero"`
	// LeavingSince is since when this run of the member has been known to leave; zero if it does not.
	LeavingSince time.Time `json:"leaving_since,omitzero"`
}

// Serves reports whether the sibling still serves: it is alive or leaving.
func (s *Sibling) Serves() bool { return s.State.serves() }

func (s State) serves() bool { return s == Alive || s == Leaving }

// View is an immutable snapshot of the members, sorted by name.
type View struct {
	Siblings []*Sibling
	self     operation.Member
}

// Members tracks the siblings of one instance. Writers hold a lock and replace the
// View. Readers load it without the lock unless it is stale.
type Members struct {
	config Config
	self   operation.Member

	mu sync.Mutex
	// siblings are replaced, never modified, because views refer to them.
	siblings map[string]*Sibling
	// names holds the sorted names of the siblings, or nil if they have changed.
	names  []string
	listed listing
	// reportsConfirmed is the time of the last contact with the instances that report the
	// states of other members to this one. Members that were reported as alive or leaving
	// count as in contact up to that time.
	reportsConfirmed time.Time
	// watchedZone is the zone whose members this instance receives heartbeats from
	// directly, and judges by these alone. It is empty for none.
	watchedZone string
	view        atomic.Pointer[View]
	// viewStale is set while the view is older than the siblings. The view is rebuilt
	// when it is read, not at each heartbeat, since there may be hundreds of siblings.
	viewStale atomic.Bool
}

// New returns the members of an instance that has had no contact with any sibling.
func New(self operation.Member, config Config) *Members {
	m := &Members{
		config:   config,
		self:     self,
		siblings: make(map[string]*Sibling),
		listed:   newListing(),
	}
	m.view.Store(&View{self: self})
	return m
}

// View returns the current view, and rebuilds it first if it is stale.
func (m *Members) View() *View {
	if m.viewStale.Load() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.rebuildView()
	}
	return m.view.Load()
}

// Find returns one sibling without rebuilding the view.
func (m *Members) Find(name string) (Sibling, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sibling, known := m.siblings[name]
	if !known {
		return Sibling{}, false
	}
	return *sibling, true
}

// SetSuspectAfter changes the silence after which a member gets no new work, to follow
// a change of the heartbeat interval.
func (m *Members) SetSuspectAfter(silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.SuspectAfter = silence
}

// ApplyHeartbeat applies a heartbeat, and returns whether it was accepted. It rejects a
// heartbeat of an earlier incarnation, one that is older than the last of the same run,
// and one that leaves out the addresses of a run that is not known yet.
func (m *Members) ApplyHeartbeat(info Info, now time.Time) bool {
	if info.Name == m.self.Name {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.siblings[info.Name]
	if ok && known.Incarnation > info.Incarnation {
		return false
	}
	sameRun := ok && known.Incarnation == info.Incarnation
	if sameRun && known.Uptime > info.Uptime {
		return false
	}
	if info.Peer == "" {
		if !sameRun || known.Peer == "" {
			return false
		}
		info.Zone, info.Caller, info.Peer = known.Zone, known.Caller, known.Peer
	}
	sibling := Sibling{Info: info, LastContact: now, LastContactAnywhere: now, Observed: now}
	if sameRun {
		sibling.Reported, sibling.reportObserved = known.Reported, known.reportObserved
		sibling.LeavingSince = known.LeavingSince
	}
	m.setState(&sibling, now)
	m.put(sibling)
	return true
}

// put replaces the entry of a sibling. The caller holds the lock.
func (m *Members) put(sibling Sibling) {
	if m.siblings[sibling.Name] == nil {
		m.names = nil
	}
	m.siblings[sibling.Name] = &sibling
	m.markChanged()
}

// confirmationStep is the resolution of LastContactAnywhere for members whose state other
// instances report. With an exact time, each Tick would replace all of them.
const confirmationStep = time.Second

// Tick recomputes every state at now, and drops members that have been silent for longer
// than Config.ForgetAfter.
func (m *Members) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, known := range m.siblings {
		sibling := *known
		if (sibling.Reported == Alive || sibling.Reported == Leaving) && m.reportsConfirmed.Sub(sibling.LastContactAnywhere) >= confirmationStep {
			sibling.LastContactAnywhere = m.reportsConfirmed
		}
		if now.Sub(sibling.LastContactAnywhere) > m.config.ForgetAfter {
			delete(m.siblings, name)
			m.names = nil
			m.markChanged()
			continue
		}
		m.setState(&sibling, now)
		if m.judgedDirectly(sibling) && sibling.State != Alive && sibling.State != Leaving {
			sibling.Observed = now
		}
		if sibling != *known {
			m.put(sibling)
		}
	}
}

// judgedDirectly reports whether a sibling's silence is judged by the heartbeats that this
// instance receives itself, and not by the reports of other instances.
func (m *Members) judgedDirectly(s Sibling) bool {
	return s.Reported == "" || (m.watchedZone != "" && s.Zone == m.watchedZone)
}

// setState recomputes the state of a sibling.
func (m *Members) setState(s *Sibling, now time.Time) {
	s.State = m.stateAt(*s, now)
	switch {
	case s.State == Alive:
		s.LeavingSince = time.Time{}
	case s.State == Leaving && s.LeavingSince.IsZero():
		s.LeavingSince = now
	}
}

func (m *Members) stateAt(s Sibling, now time.Time) State {
	switch {
	case m.isDead(s, now):
		return Dead
	case now.Sub(s.LastContact) > m.config.SuspectAfter && now.Sub(s.Vouched) > m.config.SuspectAfter:
		if m.judgedDirectly(s) {
			return Suspect
		}
		return s.Reported
	case s.Draining || m.listed.leaving[s.Name]:
		return Leaving
	default:
		return Alive
	}
}

// markChanged records that the siblings have changed.
func (m *Members) markChanged() { m.viewStale.Store(true) }

// rebuildView replaces the view. The caller holds the lock.
func (m *Members) rebuildView() {
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.siblings))
	}
	next := &View{Siblings: make([]*Sibling, 0, len(m.names)), self: m.self}
	for _, name := range m.names {
		next.Siblings = append(next.Siblings, m.siblings[name])
	}
	m.view.Store(next)
	// The flag is cleared only after the view is stored, since a reader that finds it
	// clear loads the view without the lock.
	m.viewStale.Store(false)
}

// Find returns the sibling of that name.
func (v *View) Find(name string) (Sibling, bool) {
	i, found := slices.BinarySearchFunc(v.Siblings, name, func(s *Sibling, n string) int {
		return cmp.Compare(s.Name, n)
	})
	if !found {
		return Sibling{}, false
	}
	return *v.Siblings[i], true
}

// Knows reports whether this run of an instance, or a later one, is known.
func (v *View) Knows(member operation.Member) bool {
	sibling, known := v.Find(member.Name)
	return known && sibling.Incarnation >= member.Incarnation
}

// Serving returns the siblings that still serve: alive or leaving.
func (v *View) Serving() []*Sibling {
	var serving []*Sibling
	for _, s := range v.Siblings {
		if s.Serves() {
			serving = append(serving, s)
		}
	}
	return serving
}

// IsDead reports whether a run of an instance is known to have ended. Either it has been
// silent for so long that its state is Dead, or a later incarnation of the instance is
// known, which may be this instance itself.
func (v *View) IsDead(member operation.Member) bool {
	if member.Name == v.self.Name {
		return member.Incarnation < v.self.Incarnation
	}
	sibling, known := v.Find(member.Name)
	if !known {
		return false
	}
	if sibling.Incarnation > member.Incarnation {
		return true
	}
	return sibling.Incarnation == member.Incarnation && sibling.State == Dead
}
