package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// View is what requests are decided by: immutable values behind atomic
// pointers.
type View interface {
	// Table returns the table in force; nil before there is one.
	Table() *table.View
	// Servers returns the registered backend servers with the table rows made
	// of them.
	Servers() *Servers
	// Confirmed returns when the picture was last known to be current.
	Confirmed() time.Time
}

// Servers is an immutable picture of the backend servers, by service.
type Servers struct {
	// Position is the place in the log up to which changes are in the picture.
	Position oplog.Position
	// ByRun holds each server by the name of its run, ByID by its own.
	ByRun   map[string]*registry.Entry
	ByID    map[string]*registry.Entry
	Plain   map[string][]*table.BackendView
	Prefill map[string][]*table.BackendView
	Decode  map[string][]*table.BackendView
}

// Restarted says whether another run of a server has taken the place of the one
// that an entry names.
func (s *Servers) Restarted(entry *registry.Entry) bool {
	now := s.ByID[entry.ID]
	return now != nil && now.Run() != entry.Run()
}

// Config bounds what one request may take.
type Config struct {
	// ReserveTimeout bounds one question for a reservation. It must outlast a
	// round trip between zones and the opening of a connection; longer delays
	// requests behind an engine that is gone.
	ReserveTimeout time.Duration
	// ReserveTries bounds the engines that are asked in turn. More find the
	// last free memory; each costs a round trip of a few milliseconds.
	ReserveTries int
	// ReservePause is the pause before the engines are asked again. Shorter
	// finds freed memory sooner; each question is a round trip.
	ReservePause time.Duration
	// CleanupTimeout bounds giving back what a request had taken.
	CleanupTimeout time.Duration
	// RefuseWithin is the part of the first-token target within which a
	// request that cannot be served must be refused for its caller to lose
	// least (source: the users' rules, a quarter).
	RefuseWithin float64
	// RetryEarliest and RetryLatest bound when a refused caller should come
	// back, as parts of the time that it has left. Callers honour a third at
	// most (source: the users' protocol). The moment is drawn at random between
	// them, so that callers who were refused together do not return together;
	// later ones find the burst over that had them refused.
	RetryEarliest float64
	RetryLatest   float64
	// LandingMargin is kept between the expected first token and its target,
	// for transfer and first step.
	LandingMargin time.Duration
	// LastCalls is how long before the end of a graceful shutdown plain
	// requests are no longer taken; longer than nearly all take.
	LastCalls time.Duration
	// RetryElsewhere is when a caller should come back that a stopping instance
	// refuses: at once, since the others serve.
	RetryElsewhere time.Duration
	// StreamGrace is how long after the begin of a graceful shutdown streams
	// are still taken; later ones might not end before the instance does.
	StreamGrace time.Duration
	// HintMargin is the part of the tokens expected to be generated for which
	// memory is reserved. With less, requests outgrow their reservation and are
	// preempted; with more, less is left for others.
	HintMargin float64
	// TeamYield is how much more of an engine's memory the requests of a team leave free
	// that has used up its allotment, as a part of what all leave free. More keeps room for
	// teams that ask for little beside a hot one; it turns away more of the hot one's.
	TeamYield float64
	// LateReading is how long after the first token's target a prefill may
	// still end; a late stream is worth something to its caller.
	LateReading time.Duration
	// HandleMargin is how long before a prefill's result lapses it is no longer
	// handed to another engine: a reservation and the transfer take that long.
	HandleMargin time.Duration
	// EventPause stands in for the usual pause between two events of a stream
	// until some were seen (source: the users' sheets, 64 tokens of 0.8 ms).
	EventPause time.Duration
	// AllotmentSpread is over how long callers return whose team has used what it may,
	// beyond when it will have something left. The table's allotments are a second's.
	AllotmentSpread time.Duration
}

// DefaultConfig suits the sizes of the users' sheets.
func DefaultConfig() Config {
	return Config{
		ReserveTimeout: 150 * time.Millisecond,
		ReserveTries:   3,
		ReservePause:   40 * time.Millisecond,
		CleanupTimeout: time.Second,
		RefuseWithin:   0.25,
		RetryEarliest:  0.16,
		RetryLatest:    0.32,
		LandingMargin:  150 * time.Millisecond,
		LastCalls:      1600 * time.Millisecond,
		RetryElsewhere: 50 * time.Millisecond,
		StreamGrace:    2500 * time.Millisecond,
		HintMargin:     0.6,
		TeamYield:      1,
		LateReading:    600 * time.Millisecond,
		EventPause:     60 * time.Millisecond,
		HandleMargin:   100 * time.Millisecond,

		AllotmentSpread: time.Second,
	}
}

// Deps is what a Gateway works with.
type Deps struct {
	Zone string
	// RegionOf is the region of each availability zone.
	RegionOf map[string]string
	View     View
	Fleet    *route.Fleet
	Backends Backends
	// Budget returns the retry budget of a service.
	Budget  func(service string) *route.SharedBudget
	Metrics *metrics.Set
	// Allotments bounds what teams use.
	Allotments Allotments
	// Poison remembers which requests ran at servers when these ended.
	Poison *poison.Tracker
	// Random returns a number in [0,1).
	Random func() float64
}

// Gateway forwards requests.
type Gateway struct {
	Deps
	config  Config
	prefill *route.Profile
	decode  *route.Profile
	// readingDecode chooses decode engines that are to read the prompt too.
	readingDecode *route.Profile
	plain         *route.Profile
	inFlight      atomic.Int64
	// stopping is set once a graceful shutdown has begun.
	stopping atomic.Pointer[shutdown]
	// lines bounds how many requests are logged.
	lines *logging.Limit
	// lengths is what callers' guesses at the length of answers are worth, a
	// *route.Lengths for each service's name.
	lengths sync.Map
	// sizes is what requests need, a *route.Sizes for each service's name.
	sizes sync.Map
	// pauses is how long streams pause, a *pauses for each service's name.
	pauses sync.Map
	// cleanups waits for what outlives its request.
	cleanups sync.WaitGroup
}

// Requests that are logged: enough for every refusal of a burst at the users'
// sizes, some five lines each, and a few hundred kilobytes a second at most.
const (
	logPerSecond = 60
	logBurst     = 300
)

// New returns a gateway.
func New(deps Deps, config Config) *Gateway {
	return &Gateway{
		Deps:          deps,
		config:        config,
		prefill:       route.ForwardPrefill(),
		decode:        route.ForwardDecode(),
		readingDecode: route.ForwardReadingDecode(),
		plain:         route.ForwardPlain(),
		lines:         logging.NewLimit(logPerSecond, logBurst, clock.Now()),
	}
}

// InFlight counts the requests that are being forwarded.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// shutdown is a graceful shutdown.
type shutdown struct{ began, ends time.Time }

// lengthsOf returns what guesses are worth for a service.
func (g *Gateway) lengthsOf(service string) *route.Lengths {
	known, _ := g.lengths.LoadOrStore(service, new(route.Lengths))
	return known.(*route.Lengths)
}

// sizesOf returns what requests of a service need.
func (g *Gateway) sizesOf(service string) *route.Sizes {
	known, _ := g.sizes.LoadOrStore(service, new(route.Sizes))
	return known.(*route.Sizes)
}

// pauses is how long the streams of a service pause between two events.
type pauses struct {
	usual route.Pauses
	// reading is the same while the decode engine reads a prompt.
	reading route.Pauses
}

// pausesOf returns how long streams of a service pause.
func (g *Gateway) pausesOf(service string) *pauses {
	known, _ := g.pauses.LoadOrStore(service, new(pauses))
	return known.(*pauses)
}

// FreeMemory estimates the KV memory of all decode engines that nobody needs,
// in tokens.
func (g *Gateway) FreeMemory() int {
	free := 0
	for _, pool := range g.View.Servers().Decode {
		for _, backend := range pool {
			free += g.freeAt(backend)
		}
	}
	return free
}

// freeAt estimates the KV memory of one decode engine that nobody needs, in
// tokens; none is left at an engine that is not known.
func (g *Gateway) freeAt(backend *table.BackendView) int {
	server := g.Fleet.Server(backend.Name)
	if server == nil {
		return 0
	}
	return max(route.FreeTokens(route.Candidate{Backend: backend, Server: server}), 0)
}

// Stop begins a graceful shutdown: requests that might outlast it are refused.
func (g *Gateway) Stop(now, ends time.Time) {
	g.stopping.CompareAndSwap(nil, &shutdown{began: now, ends: ends})
}

// Stopping says whether a graceful shutdown has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() != nil }

// Wait blocks until everything that was taken has been given back.
func (g *Gateway) Wait() { g.cleanups.Wait() }

// Serve forwards one request. ctx ends when its caller departs.
func (g *Gateway) Serve(ctx context.Context, r *Request) *Reply {
	view := g.View.Table()
	f := &flow{Gateway: g, request: r, servers: g.View.Servers(), entries: make(map[string]*registry.Entry)}
	if view == nil {
		return f.refuse(reason.StaleTable, "no table is known yet")
	}
	f.revision = view.Revision
	f.route = view.Route(r.Host, r.Path)
	if f.route == nil {
		return f.end(&Reply{Status: statusNotFound, Reason: reason.UnknownService}, "no route")
	}
	if refused := f.authenticate(view); refused != nil {
		return refused
	}
	f.regions = allowedRegions(f.route, f.team)
	f.service = view.Services[f.route.Service(r.ID)]
	if f.service == nil {
		return f.refuse(reason.UnknownService, "the route names no service")
	}
	f.deadline = r.Arrived.Add(f.route.Timeout)
	if r.Deadline.Before(f.deadline) {
		f.deadline = r.Deadline
	}
	g.inFlight.Add(1)
	f.leave = sync.OnceFunc(func() {
		g.inFlight.Add(-1)
		f.admission.Release()
	})
	g.Budget(f.service.Name).Earn(r.Arrived)
	if refused := f.charge(); refused != nil {
		return refused
	}
	if refused := f.admit(); refused != nil {
		return refused
	}
	if f.service.Type == table.TypeModel && r.Generation != nil {
		return f.generate(ctx)
	}
	return f.call(ctx)
}

// cleanup runs a small task that outlives its request.
func (g *Gateway) cleanup(task func(ctx context.Context)) {
	g.cleanups.Add(1)
	go func() {
		defer g.cleanups.Done()
		ctx, cancel := context.WithTimeout(context.Background(), g.config.CleanupTimeout)
		defer cancel()
		task(ctx)
	}()
}
