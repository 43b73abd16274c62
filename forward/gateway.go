package forward

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/callerwait"
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

// View provides the data that requests are decided by, as immutable values behind atomic
// pointers.
type View interface {
	// Table returns the table in force; nil before the first one.
	Table() *table.View
	// TableSince returns since when the instance has used the table; zero before the first one.
	TableSince() time.Time
	// Servers returns the registered backend servers, with the table rows that describe them.
	Servers() *Servers
	// Confirmed returns when the view of the servers was last known to be current.
	Confirmed() time.Time
}

// Servers is an immutable view of the backend servers, by service.
type Servers struct {
	// Position is the log position up to which changes are included.
	Position oplog.Position
	// ByRun holds each server by the name of its run, which is one start of the server's
	// process. ByID holds each server by its id.
	ByRun   map[string]*registry.Entry
	ByID    map[string]*registry.Entry
	Plain   map[string][]*table.BackendView
	Prefill map[string][]*table.BackendView
	Decode  map[string][]*table.BackendView
	// Subset is set if these are not all servers.
	Subset bool
}

// Restarted reports whether a newer run of a server has replaced the run of the entry.
func (s *Servers) Restarted(entry *registry.Entry) bool {
	now := s.ByID[entry.ID]
	return now != nil && now.Run() != entry.Run()
}

// Config holds the limits and timing of forwarding.
type Config struct {
	// ReserveTimeout bounds one reservation request. It must be longer than a round trip
	// between zones plus the setup of a connection. A longer timeout delays requests when an
	// engine is gone.
	ReserveTimeout time.Duration
	// ReserveTries bounds the number of engines that are tried in turn. More tries find the
	// last free memory, and each costs a round trip of a few milliseconds. Where memory is
	// admitted by forecast, it is forecast.Tries.
	ReserveTries int
	// ReservePause is the pause before the engines are tried again. A shorter pause finds
	// freed memory sooner, and each try costs a round trip.
	ReservePause time.Duration
	// CleanupTimeout bounds the release of the resources of one request.
	CleanupTimeout time.Duration
	// RefuseWithin is the fraction of the first-token target within which a request that cannot
	// be served must be refused for its caller to lose least (source: the service requirements,
	// a quarter).
	RefuseWithin float64
	// RetryEarliest and RetryLatest bound the delay after which a refused caller should come
	// back, as fractions of the time that it has left. Callers wait at most a third of the time
	// left (source: the platform's protocol). The delay is drawn at random between them, so
	// that callers that were refused together do not return together. Later callers find that
	// the burst that caused the refusals is over. For lack of memory by forecast,
	// forecast.ReturnEarliest takes the place of RetryEarliest.
	RetryEarliest float64
	RetryLatest   float64
	// FirstTokenMargin is the time kept between the expected first token and its target, for the
	// transfer and the first decode step.
	FirstTokenMargin time.Duration
	// PlainShutdownMargin is how long before the end of a graceful shutdown plain requests are
	// no longer accepted. Nearly all plain requests take less time.
	PlainShutdownMargin time.Duration
	// PlainGrace is how long after the start of a graceful shutdown plain requests are accepted unless they are likely to be
	// cut off. Later ones are accepted only if they will end in time (source: the service requirements, which allow requests to be cut off that were sent up
	// to 3 s after the signal to stop).
	PlainGrace time.Duration
	// StoppingRetryDelay is the retry delay for callers that a stopping instance refuses, or that take
	// up a stream of which the instance does not know where it began. It is short because other
	// instances can serve them immediately.
	StoppingRetryDelay time.Duration
	// StreamGrace is how long after the start of a graceful shutdown streams are accepted that are expected to end in time
	// (source: the service requirements, which allow requests to be cut off that were sent up to 3 s after the signal to stop).
	StreamGrace time.Duration
	// LengthEstimateMargin is the fraction of the tokens expected to be generated for which memory is
	// reserved. With less, requests outgrow their reservation and are preempted. With more,
	// less memory is left for others.
	LengthEstimateMargin float64
	// ForecastEngines is how many decode engines a service must have for its memory admission to be
	// by forecast. Fewer engines keep the whole of LengthEstimateMargin (marginEngines), which is
	// enough for their streams, while a forecast for few engines refuses more.
	ForecastEngines int
	// TeamHeadroom is how much more of an engine's memory the requests of a team leave free once
	// the team has used up its allotment, as a fraction of what all requests leave free. A
	// larger value keeps room for teams that send little next to a busy team, and refuses more
	// requests of the busy team.
	TeamHeadroom float64
	// LatePrefillGrace is how long after the first-token target a prefill may still end. A late
	// stream still has value for its caller.
	LatePrefillGrace time.Duration
	// PrefillExpiryMargin is how long before a prefill result expires it is no longer handed to
	// another engine. A reservation and the transfer take that long.
	PrefillExpiryMargin time.Duration
	// EventPause is the assumed pause between two events of a stream until pauses have been
	// observed (source: the reference workload, 64 tokens of 0.8 ms).
	EventPause time.Duration
	// AllotmentSpread is the interval over which callers of a team that is over its allotment
	// come back, after the time when the team has balance again. The table states allotments
	// per second.
	AllotmentSpread time.Duration
}

// DefaultConfig returns values that suit the reference workload (the load and machine figures
// that the service is designed for).
func DefaultConfig() Config {
	return Config{
		ReserveTimeout:       150 * time.Millisecond,
		ReserveTries:         3,
		ReservePause:         40 * time.Millisecond,
		CleanupTimeout:       time.Second,
		RefuseWithin:         0.25,
		RetryEarliest:        0.16,
		RetryLatest:          0.32,
		FirstTokenMargin:     150 * time.Millisecond,
		PlainShutdownMargin:  1600 * time.Millisecond,
		PlainGrace:           3 * time.Second,
		StoppingRetryDelay:   50 * time.Millisecond,
		StreamGrace:          2500 * time.Millisecond,
		LengthEstimateMargin: 0.6,
		ForecastEngines:      marginEngines + 1,
		TeamHeadroom:         1,
		LatePrefillGrace:     600 * time.Millisecond,
		EventPause:           60 * time.Millisecond,
		PrefillExpiryMargin:  100 * time.Millisecond,

		AllotmentSpread: time.Second,
	}
}

// Deps holds the dependencies of a Gateway.
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
	// Allotments enforces the allotments of teams.
	Allotments Allotments
	// Poison records which requests were running at servers that crashed.
	Poison *poison.Tracker
	// Origins holds at which releases streams began.
	Origins Origins
	// Siblings passes requests on to other instances; nil if there are none.
	Siblings Siblings
	// SiblingEnds, if set, returns when the graceful shutdown of a sibling ends what it passes on, if it began after a time; zero
	// otherwise.
	SiblingEnds func(name string, after time.Time) time.Time
	// OnCutOff, if set, is called when the instance loses its links to all servers of some service,
	// and when it has links to all services again.
	OnCutOff func(cutOff bool)
	// Random returns a number in [0,1).
	Random func() float64
}

// Gateway forwards requests.
type Gateway struct {
	Deps
	config  Config
	prefill *route.Profile
	decode  *route.Profile
	// readingDecode chooses decode engines that are also to read the prompt.
	readingDecode *route.Profile
	plain         *route.Profile
	// plainFewSlots keeps the servers of a plain service from which package slots selects one.
	plainFewSlots *route.Profile
	inFlight      atomic.Int64
	// stopping is set once a graceful shutdown has begun, and stopBegan is closed then.
	stopping  atomic.Pointer[shutdown]
	stopBegan chan struct{}
	// unbegunOver is done once a graceful shutdown has ended the requests of which the callers had nothing, and shutdownOver
	// once it has ended all that was left.
	unbegunOver, shutdownOver context.Context
	endUnbegun, endShutdown   context.CancelCauseFunc
	// endedUnbegun and endedBegun count the requests that these two steps have ended.
	endedUnbegun, endedBegun atomic.Int64
	// logLimit bounds how many requests are logged.
	logLimit *logging.Limit
	// endedLimit is the same for requests without a whole answer, so that the refusals of a burst or a stop do not keep them
	// out of the log.
	endedLimit *logging.Limit
	// lengths holds a *route.Lengths for each service name: the corrected estimates of answer
	// lengths.
	lengths sync.Map
	// sizes holds a *route.Sizes for each service name: the memory that requests need.
	sizes sync.Map
	// memoryModels holds a *memoryModel for each service name: what was learned of its streams.
	memoryModels sync.Map
	// pauses holds a *pauses for each service name: the pauses between events of streams.
	pauses sync.Map
	// waits holds a *callerwait.Estimator for each route name.
	waits sync.Map
	// callTimes holds a *callTimes for each service name: how long plain calls take.
	callTimes sync.Map
	// fewSlots holds a *serviceSlots for the name of each service whose servers have few slots.
	fewSlots sync.Map
	// reaches holds a *reach.Service for each service name: how this instance reaches its servers.
	reaches sync.Map
	// declines holds the siblings that declined a request recently.
	declines declines
	// cutOffServices counts the services whose servers this instance cannot reach.
	cutOffServices atomic.Int64
	cutOffReport   sync.Mutex
	// cleanups counts the tasks that outlive their request.
	cleanups sync.WaitGroup
}

// Limits on logged requests. They allow every refusal of a burst in the reference workload,
// with some five lines each, and write a few hundred kilobytes a second at most.
const (
	logPerSecond = 60
	logBurst     = 300
)

// New returns a gateway.
func New(deps Deps, config Config) *Gateway {
	unbegunOver, endUnbegun := context.WithCancelCause(context.Background())
	shutdownOver, endShutdown := context.WithCancelCause(context.Background())
	return &Gateway{
		Deps:          deps,
		config:        config,
		stopBegan:     make(chan struct{}),
		unbegunOver:   unbegunOver,
		shutdownOver:  shutdownOver,
		endUnbegun:    endUnbegun,
		endShutdown:   endShutdown,
		prefill:       route.ForwardPrefill(),
		decode:        route.ForwardDecode(),
		readingDecode: route.ForwardReadingDecode(),
		plain:         route.ForwardPlain(),
		plainFewSlots: route.ForwardFewSlots(),
		logLimit:      logging.NewLimit(logPerSecond, logBurst, clock.Now()),
		endedLimit:    logging.NewLimit(logPerSecond, logBurst, clock.Now()),
	}
}

// InFlight returns the number of requests that are being forwarded.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// lengthsOf returns the estimates of answer lengths for a service.
func (g *Gateway) lengthsOf(service string) *route.Lengths {
	known, _ := g.lengths.LoadOrStore(service, new(route.Lengths))
	return known.(*route.Lengths)
}

// sizesOf returns the estimates of the KV memory of a service's requests.
func (g *Gateway) sizesOf(service string) *route.Sizes {
	known, _ := g.sizes.LoadOrStore(service, new(route.Sizes))
	return known.(*route.Sizes)
}

// pauses holds the pauses between two events of a service's streams.
type pauses struct {
	usual route.Pauses
	// reading holds the pauses that occur while the decode engine reads a prompt.
	reading route.Pauses
}

// pausesOf returns the pauses of a service's streams.
func (g *Gateway) pausesOf(service string) *pauses {
	known, _ := g.pauses.LoadOrStore(service, new(pauses))
	return known.(*pauses)
}

// callTimesOf returns how long the plain calls of a service take.
func (g *Gateway) callTimesOf(service string) *callTimes {
	if known, ok := g.callTimes.Load(service); ok {
		return known.(*callTimes)
	}
	known, _ := g.callTimes.LoadOrStore(service, new(callTimes))
	return known.(*callTimes)
}

// waitsOf returns the estimator of how long callers of a route have waited before their requests.
func (g *Gateway) waitsOf(route string) *callerwait.Estimator {
	if known, ok := g.waits.Load(route); ok {
		return known.(*callerwait.Estimator)
	}
	known, _ := g.waits.LoadOrStore(route, new(callerwait.Estimator))
	return known.(*callerwait.Estimator)
}

// FreeMemory estimates the unneeded KV memory of all decode engines, in tokens.
func (g *Gateway) FreeMemory() int {
	free := 0
	for _, pool := range g.View.Servers().Decode {
		for _, backend := range pool {
			free += g.freeMemoryAt(backend)
		}
	}
	return free
}

// freeMemoryAt estimates the unneeded KV memory of one decode engine, in tokens. It is zero
// for an engine that is not known.
func (g *Gateway) freeMemoryAt(backend *table.BackendView) int {
	server := g.Fleet.Server(backend.Name)
	if server == nil {
		return 0
	}
	return max(route.FreeTokens(route.Candidate{Backend: backend, Server: server}), 0)
}

// Wait blocks until all resources that requests hold have been released.
func (g *Gateway) Wait() { g.cleanups.Wait() }

// Serve forwards one request. ctx ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, r *Request) *Reply {
	view := g.View.Table()
	f := &flow{Gateway: g, stopping: g.shutdownOf(r), id: r.ID, request: r, caller: ctx, servers: g.View.Servers(), entries: make(map[string]*registry.Entry)}
	if view == nil && g.Stopping() {
		return f.refuse(reason.Stopping, errStopping.Error())
	}
	if view == nil {
		return f.refuse(reason.StaleTable, "no table has been received yet")
	}
	f.revision = view.Revision
	if r.HandedOver != "" && view.Revision < r.Revision {
		return f.refuse(reason.StaleTable, "the table in force is older than that of the sibling that handed the request over")
	}
	f.route = view.Route(r.Host, r.Path)
	if f.route == nil {
		return f.end(&Reply{Status: statusNotFound, Reason: reason.UnknownService}, "no route matches the request"+view.LeftOutNote(table.Route))
	}
	if refused := f.authenticate(view); refused != nil {
		return refused
	}
	f.regions = allowedRegions(f.route, f.team)
	service := f.route.Service(cmp.Or(r.Resumes, r.ID))
	if f.service = view.Services[service]; f.service == nil {
		return f.refuse(reason.UnknownService, view.WhyUnserved(f.route, service))
	}
	f.tokensBefore = tokensBefore(r, f.service.Engine.EventTokens)
	f.deadline = r.Arrived.Add(f.route.Timeout)
	if r.Deadline.Before(f.deadline) {
		f.deadline = r.Deadline
	}
	f.waited = g.waitsOf(f.route.Name).Waited(f.deadline.Sub(r.Arrived), r.Arrived)
	g.inFlight.Add(1)
	ctx, detach := g.untilEnd(ctx)
	f.caller = ctx
	f.release = sync.OnceFunc(func() {
		detach()
		g.inFlight.Add(-1)
		f.admission.Release()
	})
	reply := f.forward(ctx)
	if reply.Stream != nil {
		AnswerBegins(ctx)
	}
	return reply
}

// forward serves a request whose route and team are known.
func (f *flow) forward(ctx context.Context) *Reply {
	if f.stopsTooSoon() || f.stopsUninformed() {
		return f.refuse(reason.Stopping, errStopping.Error())
	}
	if f.request.HandedOver == "" {
		f.Budget(f.service.Name).Earn(f.request.Arrived)
	}
	if reply := f.serveWhenCutOff(); reply != nil {
		return reply
	}
	if refused := f.charge(); refused != nil {
		return refused
	}
	if refused := f.admit(); refused != nil {
		return refused
	}
	if f.isGeneration() {
		return f.generate(ctx)
	}
	return f.call(ctx)
}

// cleanup runs a short task that outlives its request.
func (g *Gateway) cleanup(task func(ctx context.Context)) {
	g.cleanups.Add(1)
	go func() {
		defer g.cleanups.Done()
		ctx, cancel := context.WithTimeout(context.Background(), g.config.CleanupTimeout)
		defer cancel()
		task(ctx)
	}()
}
