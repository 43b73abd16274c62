// Package member decides which sibling instances are alive, from their
// heartbeats and from the platform's lagging list. It does no I/O and reads no
// clock.
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

// State is what this instance believes of a sibling.
type State string

const (
	Alive State = "alive"
	// Suspect has been silent for a while: it gets no new work and keeps what
	// it has.
	Suspect State = "suspect"
	// Dead has been silent for long: what it left behind is cleaned up.
	Dead State = "dead"
	// Leaving drains: it is not named to callers, and it still serves.
	Leaving State = "leaving"
)

// Config tunes failure detection.
type Config struct {
	// HeartbeatEvery is the period of heartbeats. Shorter finds failures
	// sooner and costs bytes in proportion to the members of a cell.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a member gets no new work. It
	// should outlast a few lost heartbeats and an ordinary pause.
	SuspectAfter time.Duration
	// DeadAfter is the silence, towards every sibling that was asked, after
	// which a member that the platform's list no longer shows counts as dead
	// and its streams are cancelled. Too short cancels the work of an instance
	// that was merely paused; too long holds decode memory for callers that
	// are gone.
	DeadAfter time.Duration
	// AbandonAfter is the silence after which a member counts as dead whatever
	// the list shows: the list may be down or wrong. It must outlast the
	// partitions that streams are meant to survive.
	AbandonAfter time.Duration
	// ForgetAfter is how long a dead member is remembered, so that its
	// incarnation is known to be dead and not merely unknown.
	ForgetAfter time.Duration
}

// DefaultCell suits cells of a larger region: heartbeats half as often, and
// more patience to match.
func DefaultCell() Config {
	config := DefaultRegion()
	config.HeartbeatEvery = time.Second
	config.SuspectAfter = 3500 * time.Millisecond
	return config
}

// DefaultRegion suits instances of one region, a few milliseconds apart.
func DefaultRegion() Config {
	return Config{
		HeartbeatEvery: 500 * time.Millisecond,
		SuspectAfter:   2 * time.Second,
		DeadAfter:      5 * time.Second,
		AbandonAfter:   time.Minute,
		ForgetAfter:    10 * time.Minute,
	}
}

// Info is what an instance says about itself in a heartbeat.
type Info struct {
	Name        string                `cbor:"1,keyasint" json:"name"`
	Incarnation operation.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	// Zone, Caller and Peer do not change while an instance runs. Most
	// heartbeats leave them out.
	Zone string `cbor:"3,keyasint,omitempty" json:"zone"`
	// Caller is the TCP address for callers, and Peer the UDP address for
	// siblings, each "ip:port".
	Caller string `cbor:"4,keyasint,omitempty" json:"caller"`
	Peer   string `cbor:"5,keyasint,omitempty" json:"peer"`
	// Draining is set once the instance has begun a graceful shutdown.
	Draining bool `cbor:"6,keyasint,omitempty" json:"draining,omitempty"`
	// Uptime is the instance's monotonic clock when it sent the heartbeat.
	Uptime time.Duration `cbor:"7,keyasint" json:"uptime"`
	// Revision is the table revision in force there, and Next the log offset
	// that it needs next.
	Revision uint64 `cbor:"8,keyasint" json:"revision"`
	Next     uint64 `cbor:"10,keyasint" json:"next_offset"`
	// InFlight is the number of requests that it is the home of.
	InFlight int `cbor:"9,keyasint" json:"in_flight"`
	// Cell is the cell that the instance belongs to.
	Cell string `cbor:"11,keyasint,omitempty" json:"cell"`
	// Capacity is the processor time that the instance may use, in thousandths of
	// a core; 0 if it does not say.
	Capacity int `cbor:"12,keyasint,omitempty" json:"capacity,omitempty"`
	// Part is set if the instance knows only some of the servers on the list of backend
	// servers.
	Part bool `cbor:"13,keyasint,omitempty" json:"part,omitempty"`
}

// Member returns the identity of this run of the instance.
func (i Info) Member() operation.Member {
	return operation.Member{Name: i.Name, Incarnation: i.Incarnation}
}

// Brief returns what a heartbeat says when its receivers know the rest.
func (i Info) Brief() Info {
	i.Zone, i.Caller, i.Peer = "", "", ""
	return i
}

// Sibling is one member as this instance sees it.
type Sibling struct {
	Info
	State State `json:"state"`
	// Heard is when its last heartbeat arrived here, and HeardAnywhere the
	// latest time that a sibling reports.
	Heard         time.Time `json:"heard"`
	HeardAnywhere time.Time `json:"heard_anywhere"`
	// Reported is the state that one who hears it directly has reported; empty if nobody
	// has.
	Reported State `json:"reported,omitempty"`
	// Observed is when the state was observed first-hand: by this instance, or by the one
	// whose word reached it through others.
	Observed time.Time `json:"observed,omitzero"`
	// reportObserved is the same for Reported.
	reportObserved time.Time
	// Vouched is when somebody had heard it, later than was known here.
	Vouched time.Time `json:"vouched,omitzero"`
}

// Serves says whether the sibling still serves: alive or leaving.
func (s *Sibling) Serves() bool { return s.State == Alive || s.State == Leaving }

// View is an immutable picture of the members, sorted by name.
type View struct {
	Siblings []*Sibling
	self     operation.Member
}

// Members tracks the siblings of one instance. Writers hold a lock and swap a
// new View in; readers load it without one.
type Members struct {
	config Config
	self   operation.Member

	mu sync.Mutex
	// siblings are replaced, never changed: views hold them.
	siblings map[string]*Sibling
	// names are those of the siblings, sorted; nil if they have changed.
	names  []string
	listed listing
	// reportsConfirmed is when those who report states were last heard: what they reported holds
	// until then.
	reportsConfirmed time.Time
	// watched is the zone whose members this instance hears directly itself, and
	// judges by that alone; empty for none.
	watched string
	view    atomic.Pointer[View]
	// changed is set while the view is older than the siblings. With hundreds of
	// siblings it is made anew when somebody looks, not at each heartbeat.
	changed atomic.Bool
}

// New returns the members of an instance that has heard of nobody.
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

// View returns the current picture.
func (m *Members) View() *View {
	if m.changed.Load() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.build()
	}
	return m.view.Load()
}

// Find returns what is known of one sibling, without making a picture of all.
func (m *Members) Find(name string) (Sibling, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sibling, known := m.siblings[name]
	if !known {
		return Sibling{}, false
	}
	return *sibling, true
}

// SetSuspectAfter changes the silence after which a member gets no new work, as
// heartbeats come more or less often.
func (m *Members) SetSuspectAfter(silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.SuspectAfter = silence
}

// Heard takes a heartbeat, and says whether it counted. One of an earlier
// incarnation does not, nor does one that leaves out the addresses of a run
// that is not known yet.
func (m *Members) Heard(info Info, now time.Time) bool {
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
	sibling := Sibling{Info: info, Heard: now, HeardAnywhere: now, Observed: now}
	if sameRun {
		sibling.Reported, sibling.reportObserved = known.Reported, known.reportObserved
	}
	sibling.State = m.stateAt(sibling, now)
	m.put(sibling)
	return true
}

// put takes in what is known of a sibling now. The caller holds the lock.
func (m *Members) put(sibling Sibling) {
	if m.siblings[sibling.Name] == nil {
		m.names = nil
	}
	m.siblings[sibling.Name] = &sibling
	m.publish()
}

// confirmedEvery is how exactly it is kept when members were last heard anywhere that others
// report: to the moment, each look would make all of them anew.
const confirmedEvery = time.Second

// Tick recomputes every state at now, and forgets those long dead.
func (m *Members) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, known := range m.siblings {
		sibling := *known
		if (sibling.Reported == Alive || sibling.Reported == Leaving) && m.reportsConfirmed.Sub(sibling.HeardAnywhere) >= confirmedEvery {
			sibling.HeardAnywhere = m.reportsConfirmed
		}
		if now.Sub(sibling.HeardAnywhere) > m.config.ForgetAfter {
			delete(m.siblings, name)
			m.names = nil
			m.publish()
			continue
		}
		sibling.State = m.stateAt(sibling, now)
		if m.judges(sibling) && sibling.State != Alive && sibling.State != Leaving {
			sibling.Observed = now
		}
		if sibling != *known {
			m.put(sibling)
		}
	}
}

// judges says whether a sibling's silence is judged by what this instance hears itself.
func (m *Members) judges(s Sibling) bool {
	return s.Reported == "" || (m.watched != "" && s.Zone == m.watched)
}

func (m *Members) stateAt(s Sibling, now time.Time) State {
	switch {
	case m.isDead(s, now):
		return Dead
	case now.Sub(s.Heard) > m.config.SuspectAfter && now.Sub(s.Vouched) > m.config.SuspectAfter:
		if m.judges(s) {
			return Suspect
		}
		return s.Reported
	case s.Draining || m.listed.leaving[s.Name]:
		return Leaving
	default:
		return Alive
	}
}

// publish notes that the siblings have changed.
func (m *Members) publish() { m.changed.Store(true) }

// build makes the picture anew. The caller holds the lock.
func (m *Members) build() {
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.siblings))
	}
	next := &View{Siblings: make([]*Sibling, 0, len(m.names)), self: m.self}
	for _, name := range m.names {
		next.Siblings = append(next.Siblings, m.siblings[name])
	}
	m.view.Store(next)
	// Only now: who finds nothing changed takes the picture without the lock.
	m.changed.Store(false)
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

// Knows says whether this run of an instance, or a later one, is known.
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

// IsDead says whether a run of an instance is known to have ended: it has
// been silent for long, or a later incarnation of it was heard, which may be
// this instance itself.
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
