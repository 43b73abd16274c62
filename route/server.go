// Package route makes the routing decisions: which backend server to use, whether to
// admit a request, when to retry and when to stop sending to a server. Nothing here
// does I/O or reads a clock. State and time are passed in, and a decision and its
// reasons are returned.
//
// A steward is the instance that grants reservations at a worker, for decode memory
// or for a turn in a prefill engine's queue.
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/table"
)

// Report is the last status report of a backend server.
type Report struct {
	// At is when the report was taken, on this instance's clock.
	At time.Time
	// WaitingTokens counts prompt tokens that a prefill engine has not read yet.
	WaitingTokens int
	// Running counts requests at the server.
	Running int
	// FreePieces counts free memory pieces (the unit of KV cache memory, 2,000 tokens)
	// of a decode engine.
	FreePieces int
	// Leaving is set if the server is about to stop.
	Leaving bool
}

// Server is what one instance knows about one backend server. Its fields are atomics,
// so that the request path reads and writes it without locks.
type Server struct {
	Name    string
	Breaker Breaker
	// Prefixes approximates a prefill engine's prefix cache.
	Prefixes PrefixCache
	// Prefills and Transfers are the measured rates at which the server reads prompts
	// and receives KV caches.
	Prefills  Rate
	Transfers Rate

	// Speeds holds the estimates of the times that the server takes for its work.
	Speeds speed.Server

	report atomic.Pointer[Report]
	// inFlight counts this instance's own requests at the server.
	inFlight atomic.Int64
	// ownUnread counts this instance's own prompt tokens at the server that are not
	// yet read.
	ownUnread atomic.Int64
	// ownMemory counts the tokens of KV memory that this instance's requests at the
	// server hold or will need.
	ownMemory atomic.Int64
	// others is the commitment that the siblings reported last.
	others         atomic.Pointer[Commitment]
	silence        silence
	refusalBackoff failureBackoff
	// freeSlotsBackoff follows refusals with free slots.
	freeSlotsBackoff failureBackoff
	handoffBackoff   failureBackoff
	// connectBackoff tracks connections that could not be opened.
	connectBackoff failureBackoff
	// changeEnd is the end of the server's change of role, in nanoseconds since
	// epoch.
	changeEnd atomic.Int64
	// Pressure is what the server reports about itself in its answers; nil if that is
	// not known.
	Pressure *backpressure.Server
	// onCommitted, if set, is called when this instance's memory or unread tokens at
	// the server change.
	onCommitted func()
}

// Commitment is the work of one instance, or of several instances together, at a
// backend server.
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

// Less returns the commitment without part.
func (c Commitment) Less(part Commitment) Commitment {
	return Commitment{InFlight: c.InFlight - part.InFlight, Unread: c.Unread - part.Unread, Memory: c.Memory - part.Memory}
}

// Own returns this instance's commitment.
func (s *Server) Own() Commitment {
	return Commitment{
		InFlight: int(s.inFlight.Load()), Unread: int(s.ownUnread.Load()), Memory: int(s.ownMemory.Load()),
	}
}

// SetOthers replaces the commitment reported by the siblings.
func (s *Server) SetOthers(others Commitment) { s.others.Store(&others) }

// Others returns the commitment that the siblings reported.
func (s *Server) Others() Commitment {
	if others := s.others.Load(); others != nil {
		return *others
	}
	return Commitment{}
}

// AddMemory records that this instance's requests need that many more tokens of KV memory,
// or fewer if negative.
func (s *Server) AddMemory(tokens int) {
	if tokens == 0 {
		return
	}
	s.ownMemory.Add(int64(tokens))
	if max(tokens, -tokens) >= notifyThresholdTokens {
		s.notifyChange()
	}
}

// notifyThresholdTokens is the change of memory that siblings are notified of immediately. A
// stream grows by one event of 64 tokens at a time. Without the threshold each stream would
// cause twenty notifications a second.
const notifyThresholdTokens = 500

// notifyChange reports that this instance's commitment at the server has changed.
func (s *Server) notifyChange() {
	if s.onCommitted != nil {
		s.onCommitted()
	}
}

// initialTokenRate is used until the first prefill is measured, in tokens per second.
const initialTokenRate = 10_000

// Observe replaces the server's report.
func (s *Server) Observe(report *Report) { s.report.Store(report) }

// Report returns the last report, or nil before the first.
func (s *Server) Report() *Report { return s.report.Load() }

// InFlight returns the number of this instance's own requests at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// RequestSent records that this instance sent a request with that many unread prompt
// tokens. The returned function records its end.
func (s *Server) RequestSent(tokens int) (end func()) {
	s.inFlight.Add(1)
	read := s.AddUnread(tokens)
	return func() {
		s.inFlight.Add(-1)
		read()
	}
}

// AddUnread records that this instance sent that many prompt tokens that are not yet read. The
// returned function records that they have been read.
func (s *Server) AddUnread(tokens int) (read func()) {
	if tokens == 0 {
		return func() {}
	}
	s.ownUnread.Add(int64(tokens))
	s.notifyChange()
	return func() {
		s.ownUnread.Add(-int64(tokens))
		s.notifyChange()
	}
}

// WaitingTokens returns the larger of the reported unread tokens and the tokens that
// this instance and its siblings know of. The report lags behind what was just sent,
// and the known tokens may lack those of some siblings.
func (s *Server) WaitingTokens() int {
	own := int(s.ownUnread.Load()) + s.Others().Unread
	report := s.report.Load()
	if report == nil || report.WaitingTokens < own {
		return own
	}
	return report.WaitingTokens
}

// PrefillTime estimates the time until a prompt of that many tokens is read,
// including the wait for the prompts ahead of it.
func (s *Server) PrefillTime(tokens int) time.Duration {
	return s.ReadTime(s.WaitingTokens() + tokens)
}

// ReadTime estimates how long a prefill engine takes to read that many tokens. Where the speeds
// of the service's engines differ, it follows the estimates of all instances.
func (s *Server) ReadTime(tokens int) time.Duration {
	if perToken, rated := s.Speeds.Time(speed.Reading, s.requests()); rated {
		return time.Duration(tokens) * perToken
	}
	if estimate, known := s.Prefills.Time(tokens); known {
		return estimate
	}
	return time.Duration(tokens) * time.Second / initialTokenRate
}

// ReadTokens estimates how many tokens a prefill engine reads in a duration.
func (s *Server) ReadTokens(in time.Duration) int {
	if perToken, rated := s.Speeds.Time(speed.Reading, s.requests()); rated {
		return int(in / max(perToken, 1))
	}
	rate := s.Prefills.perSecond()
	if rate == 0 {
		rate = initialTokenRate
	}
	return int(rate * in.Seconds())
}

// ServerID returns a short hash of a backend server's name for messages between siblings. Two
// servers of a cell (the group of instances that know each other fully) hardly ever share an
// id, and if they do, only their scores are mixed up.
func ServerID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Fleet holds the Server of each backend server. Readers load one immutable index.
// Adopt swaps it when the table changes.
type Fleet struct {
	index atomic.Pointer[fleetIndex]
	// onCommitted is called when this instance's commitments change.
	onCommitted func()
	// Backpressure tracks what servers report about themselves in their answers.
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

// OnCommitmentChange sets a function that is called, on the request path, whenever this
// instance's memory or unread tokens at some server change. It must be set before
// servers are adopted.
func (f *Fleet) OnCommitmentChange(notify func()) { f.onCommitted = notify }

// Server returns the state of a backend server, or nil if the table has no such row.
func (f *Fleet) Server(name string) *Server { return f.index.Load().byName[name] }

// ServerByID returns the state of the backend server with that ServerID, or
// nil.
func (f *Fleet) ServerByID(id uint32) *Server { return f.index.Load().byID[id] }

// ResetFailures clears failures, silence and refusals of all servers. After this instance
// itself was suspended, they are caused by the suspension rather than by the servers.
func (f *Fleet) ResetFailures(now time.Time) {
	for _, server := range f.index.Load().byName {
		server.ResetFailures(now)
	}
}

// ResetFailures clears failures, silence and refusals of the server.
func (s *Server) ResetFailures(now time.Time) {
	s.Breaker.Success()
	s.RecordContact(now)
	s.Accepted()
	s.connectBackoff.end()
}

// Adopt makes the fleet match the table's backend servers. Servers that remain keep
// their state. Only one goroutine may call it.
func (f *Fleet) Adopt(view *table.View) {
	old := f.index.Load().byName
	next := &fleetIndex{
		byName: make(map[string]*Server, len(view.Backends)),
		byID:   make(map[uint32]*Server, len(view.Backends)),
	}
	for name := range view.Backends {
		server, stays := old[name]
		if !stays {
			server = &Server{Name: name, onCommitted: f.onCommitted, Pressure: f.Backpressure.Server(name)}
		}
		next.byName[name] = server
		next.byID[ServerID(name)] = server
	}
	f.index.Store(next)
}
