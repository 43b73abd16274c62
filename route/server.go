// Package route holds the decisions: which backend server to use, whether to
// admit, when to retry and when to stop trying a server. Nothing here does I/O
// or reads a clock; state and time come in, a decision and its reasons go out.
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/table"
)

// Report is what a backend server last said about itself.
type Report struct {
	// At is when the report was taken, on this instance's clock.
	At time.Time
	// WaitingTokens counts prompt tokens that a prefill engine has not read.
	WaitingTokens int
	// Running counts requests at the server.
	Running int
	// FreePieces counts free memory pieces of a decode engine.
	FreePieces int
	// Leaving is set once the server is about to stop.
	Leaving bool
}

// Server is what one instance knows of one backend server. Its fields are
// atomics: the path of a request reads and writes it without locks.
type Server struct {
	Name    string
	Breaker Breaker
	// Prefixes guesses at a prefill engine's prefix cache.
	Prefixes PrefixCache
	// Prefills and Transfers are the measured rates of reading prompts and of
	// receiving KV caches.
	Prefills  Rate
	Transfers Rate

	report atomic.Pointer[Report]
	// inFlight counts this instance's own requests at the server.
	inFlight atomic.Int64
	// ownTokens counts this instance's own prompt tokens there, not yet read.
	ownTokens atomic.Int64
	// ownMemory counts the tokens of KV memory that this instance's requests
	// there hold or will need.
	ownMemory atomic.Int64
	// others is what siblings said last of their own part.
	others   atomic.Pointer[Commitment]
	silence  silence
	refusals refusals
	handoffs refusals
	// unreached tracks connections that could not be opened.
	unreached refusals
	// changing is until when the server changes its role, on the clock of epoch.
	changing atomic.Int64
	// Pressure is what the server says of itself in its answers; nil if that is not known.
	Pressure *backpressure.Server
	// committed, if set, is called when this instance's part of the server's memory
	// or unread tokens changes.
	committed func()
}

// Commitment is one instance's part, or several instances' parts together, of
// what a backend server has to do.
type Commitment struct {
	// InFlight counts requests.
	InFlight int
	// Unread counts prompt tokens not yet read.
	Unread int
	// Memory counts tokens of KV memory.
	Memory int
}

// Add returns the sum of two commitments.
func (c Commitment) Add(other Commitment) Commitment {
	return Commitment{
		InFlight: c.InFlight + other.InFlight, Unread: c.Unread + other.Unread, Memory: c.Memory + other.Memory,
	}
}

// Less returns what is left of a commitment without a part of it.
func (c Commitment) Less(part Commitment) Commitment {
	return Commitment{InFlight: c.InFlight - part.InFlight, Unread: c.Unread - part.Unread, Memory: c.Memory - part.Memory}
}

// Own returns this instance's part.
func (s *Server) Own() Commitment {
	return Commitment{
		InFlight: int(s.inFlight.Load()), Unread: int(s.ownTokens.Load()), Memory: int(s.ownMemory.Load()),
	}
}

// SetOthers replaces what the siblings have said of their parts.
func (s *Server) SetOthers(others Commitment) { s.others.Store(&others) }

// Others returns what the siblings have said of their parts.
func (s *Server) Others() Commitment {
	if others := s.others.Load(); others != nil {
		return *others
	}
	return Commitment{}
}

// Hold notes that this instance's requests need that many more tokens of KV
// memory; fewer, if negative.
func (s *Server) Hold(tokens int) {
	if tokens == 0 {
		return
	}
	s.ownMemory.Add(int64(tokens))
	if max(tokens, -tokens) >= tellingTokens {
		s.changed()
	}
}

// tellingTokens is the change of memory that others should hear of at once: streams
// that grow by an event at a time, 64 tokens, would have them told twenty times a
// second each.
const tellingTokens = 500

// changed tells that this instance's part of the server's work has changed.
func (s *Server) changed() {
	if s.committed != nil {
		s.committed()
	}
}

// initialTokenRate stands in until the first prefill was measured, in tokens
// a second.
const initialTokenRate = 10_000

// Observe replaces the server's report.
func (s *Server) Observe(report *Report) { s.report.Store(report) }

// Report returns the last report, or nil before the first.
func (s *Server) Report() *Report { return s.report.Load() }

// InFlight returns the number of this instance's own requests at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Begin notes that this instance has sent a request with that many unread
// prompt tokens; the returned function notes its end.
func (s *Server) Begin(tokens int) (end func()) {
	s.inFlight.Add(1)
	read := s.Unread(tokens)
	return func() {
		s.inFlight.Add(-1)
		read()
	}
}

// Unread notes that this instance has sent that many prompt tokens that are not
// yet read; the returned function notes that they are.
func (s *Server) Unread(tokens int) (read func()) {
	if tokens == 0 {
		return func() {}
	}
	s.ownTokens.Add(int64(tokens))
	s.changed()
	return func() {
		s.ownTokens.Add(-int64(tokens))
		s.changed()
	}
}

// WaitingTokens returns the larger of the reported unread tokens and those
// that this instance and its siblings know of: the report lags behind what was
// just sent, and what was sent may say nothing of some siblings.
func (s *Server) WaitingTokens() int {
	own := int(s.ownTokens.Load()) + s.Others().Unread
	report := s.report.Load()
	if report == nil || report.WaitingTokens < own {
		return own
	}
	return report.WaitingTokens
}

// PrefillTime estimates the time until a prompt of that many tokens is read,
// the wait behind others included.
func (s *Server) PrefillTime(tokens int) time.Duration {
	return s.ReadTime(s.WaitingTokens() + tokens)
}

// ReadTime estimates how long a prefill engine takes to read so many tokens.
func (s *Server) ReadTime(tokens int) time.Duration {
	if estimate, known := s.Prefills.Time(tokens); known {
		return estimate
	}
	return time.Duration(tokens) * time.Second / initialTokenRate
}

// ReadTokens estimates how many tokens a prefill engine reads in a time.
func (s *Server) ReadTokens(in time.Duration) int {
	rate := s.Prefills.perSecond()
	if rate == 0 {
		rate = initialTokenRate
	}
	return int(rate * in.Seconds())
}

// ServerID is a short stand-in for a backend server's name in messages
// between siblings. Two servers of a cell hardly ever share one, and if they
// do, only their scores are mixed up.
func ServerID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Fleet finds the Server of each backend server. Readers load one immutable
// index; Adopt swaps it when the table changes.
type Fleet struct {
	index atomic.Pointer[fleetIndex]
	// committed is told of changes of this instance's commitments.
	committed func()
	// Backpressure is what servers say of themselves in their answers.
	Backpressure *backpressure.Tracker
}

type fleetIndex struct {
	byName map[string]*Server
	byID   map[uint32]*Server
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	f := &Fleet{Backpressure: backpressure.New(rand.Float64)}
	f.index.Store(&fleetIndex{})
	return f
}

// OnCommitted has a function called, on the path of requests, whenever this
// instance's part of some server's memory or unread tokens changes. It must be set
// before servers are adopted.
func (f *Fleet) OnCommitted(told func()) { f.committed = told }

// Server returns the state of a backend server, or nil when the table has no
// such row.
func (f *Fleet) Server(name string) *Server { return f.index.Load().byName[name] }

// ServerByID returns the state of the backend server with that ServerID, or
// nil.
func (f *Fleet) ServerByID(id uint32) *Server { return f.index.Load().byID[id] }

// Forgive forgets failures, silence and refusals of all servers: after this
// instance itself stood still, they say more of it than of them.
func (f *Fleet) Forgive(now time.Time) {
	for _, server := range f.index.Load().byName {
		server.Breaker.Success()
		server.Heard(now)
		server.Accepted()
		server.Reached()
	}
}

// Adopt makes the fleet match the table's backend servers. Servers that stay
// keep their state. Only one goroutine may call it.
func (f *Fleet) Adopt(view *table.View) {
	old := f.index.Load().byName
	next := &fleetIndex{
		byName: make(map[string]*Server, len(view.Backends)),
		byID:   make(map[uint32]*Server, len(view.Backends)),
	}
	for name := range view.Backends {
		server, stays := old[name]
		if !stays {
			server = &Server{Name: name, committed: f.committed, Pressure: f.Backpressure.Server(name)}
		}
		next.byName[name] = server
		next.byID[ServerID(name)] = server
	}
	f.index.Store(next)
}
