// Package metrics defines the Prometheus metrics of an instance.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwheel/mastwheel/reason"
)

// Names of labels.
const (
	labelService = "service"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelCall    = "call"
	labelTeam    = "team"
)

// Set is the metrics of one instance. It has its own registry, so that several
// instances can run in one process.
type Set struct {
	Registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	teams      *teamCounters
	allotments *allotmentCounters
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	dropped    *prometheus.CounterVec
	streamEnds *prometheus.CounterVec
	endings    *prometheus.CounterVec
	continued  *prometheus.CounterVec
	lookups    *prometheus.CounterVec
	// OriginLog counts the stored records of streams.
	OriginLog      *OriginLog
	notReturned    *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	serverExits    *prometheus.CounterVec
	serverFailures *prometheus.CounterVec
	handOvers      *prometheus.CounterVec
	memory         *prometheus.CounterVec
	speedChoices   *prometheus.CounterVec
	overdueServers *prometheus.CounterVec
	withheld       prometheus.Counter
	requestSeconds *prometheus.HistogramVec
	slots          *slotMetrics
	// FirstToken and BetweenTokens are in seconds.
	FirstToken    *prometheus.HistogramVec
	BetweenTokens *prometheus.HistogramVec
	// CancelsPending counts attempts (an attempt is one try of a request) whose
	// cancel no engine has confirmed.
	CancelsPending prometheus.Gauge
	// CancelTries counts the cancel orders that were sent, including
	// repetitions.
	CancelTries prometheus.Counter
	// Orphans counts the streams that this instance cancelled because their home (the
	// instance that the caller was connected to) is dead.
	Orphans prometheus.Counter
}

// firstTokenBuckets are buckets around the first-token target of 1.1 s.
var firstTokenBuckets = []float64{0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.1, 1.3, 1.6, 2, 3, 5}

// betweenTokensBuckets are buckets around the between-token target of 41 ms.
var betweenTokensBuckets = []float64{0.01, 0.02, 0.03, 0.035, 0.041, 0.05, 0.07, 0.1, 0.2, 0.5}

// requestBuckets are buckets from a quick refusal to the longest stream.
var requestBuckets = []float64{0.005, 0.02, 0.06, 0.12, 0.25, 0.5, 1, 2, 4, 8, 15}

// New returns the metrics of one instance. The series of all reasons exist from
// the start, so that a rate over them is never missing.
func New() *Set {
	s := &Set{
		Registry:       prometheus.NewRegistry(),
		requests:       counters("requests_total", "Requests that ended, by outcome.", labelService, labelOutcome),
		teams:          newTeamCounters(),
		refusals:       counters("refusals_total", "Requests that ended other than done, by reason.", labelReason),
		retries:        counters("retries_total", "Attempts that were followed by another, by reason.", labelReason),
		serverExits:    counters("server_ends_total", "Backend servers that were found to have ended with requests of this instance running, by service.", labelService),
		serverFailures: counters("server_failures_total", "Calls that got no answer from a backend server, by service and by whether a connection could be opened.", labelService, "how"),
		handOvers:      counters("hand_overs_total", "Requests that were handed over to a sibling, since this instance does not reach the servers.", labelOutcome),
		speedChoices:   counters("speed_choices_total", "Choices among backend servers whose speeds differ, by kind of work.", "kind"),
		overdueServers: counters("overdue_servers_total", "Backend servers that such choices left out since they had not answered for far longer than estimated, by kind of work.", "kind"),
		withheld:       counter("log_requests_withheld_total", "Requests that were not logged, for the limit of log lines."),
		storeCalls:     counters("store_calls_total", "Calls to the platform's store, by kind of call and outcome.", labelCall, labelOutcome),
		notReturned:    counters("not_returned_total", "Things taken at backend servers that could not be given back, and lapsed.", "what"),
		slots:          newSlotMetrics(),
		memory:         counters("memory_decisions_total", "Decisions on the memory of decode engines by forecast, by service and outcome.", labelService, labelOutcome),
		allotments:     newAllotmentCounters(),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its end.", Buckets: requestBuckets,
		}, []string{labelService}),
		dropped:    counters("dropped_answers_total", "Answers and tokens that were dropped, by reason.", labelReason),
		streamEnds: newStreamEnds(),
		endings:    newEndings(),
		continued:  newContinuations(),
		lookups:    newOriginLookups(),
		OriginLog:  newOriginLog(),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Help: "Time to the first token.", Buckets: firstTokenBuckets,
		}, []string{labelService}),
		BetweenTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "between_tokens_seconds", Help: "Mean time between tokens of one answer.", Buckets: betweenTokensBuckets,
		}, []string{labelService}),
		CancelsPending: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "cancels_pending", Help: "Attempts whose cancel is not yet confirmed.",
		}),
		CancelTries: counter("cancel_tries_total", "Cancel orders sent."),
		Orphans:     counter("orphans_cancelled_total", "Streams of dead homes that were cancelled."),
	}
	s.Registry.MustRegister(s.requests, s.teams.requests, s.teams.refusals, s.allotments.refusals, s.allotments.returns, s.allotments.starts, s.refusals, s.retries, s.dropped, s.streamEnds, s.endings, s.continued, s.lookups, s.notReturned, s.storeCalls, s.serverExits, s.serverFailures, s.handOvers, s.memory, s.speedChoices, s.overdueServers, s.withheld, s.requestSeconds, s.FirstToken, s.BetweenTokens,
		s.CancelsPending, s.CancelTries, s.Orphans)
	s.Registry.MustRegister(s.slots.decisions, s.slots.waiting, s.slots.waits, s.OriginLog.records, s.OriginLog.reads)
	for _, info := range reason.All {
		s.refusals.WithLabelValues(string(info.Reason))
		s.retries.WithLabelValues(string(info.Reason))
	}
	return s
}

const namespace = "mastwheel"

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Ended counts a request that ended, with its outcome and reason.
func (s *Set) Ended(service string, outcome reason.Outcome, why reason.Reason) {
	s.requests.WithLabelValues(service, string(outcome)).Inc()
	if outcome != reason.Done {
		s.refusals.WithLabelValues(string(why)).Inc()
	}
}

// Retried counts an attempt that was followed by another.
func (s *Set) Retried(why reason.Reason) { s.retries.WithLabelValues(string(why)).Inc() }

// Dropped counts an answer or a token that was dropped.
func (s *Set) Dropped(why reason.Reason) { s.dropped.WithLabelValues(string(why)).Inc() }

// NotReleased counts a reservation or another resource at a backend server that
// could not be released. The label what is its kind.
func (s *Set) NotReleased(what string) { s.notReturned.WithLabelValues(what).Inc() }

// StoreCalled counts a call to the platform's store.
func (s *Set) StoreCalled(call, outcome string) { s.storeCalls.WithLabelValues(call, outcome).Inc() }

// ServerExited counts a backend server whose process exited while it ran requests
// of this instance.
func (s *Set) ServerExited(service string) { s.serverExits.WithLabelValues(service).Inc() }

// Outcomes of decisions on memory by forecast.
const (
	// MemoryAdmitted: an engine was reserved. MemoryAfterWait: the request had waited for it, and
	// counts as admitted too.
	MemoryAdmitted  = "admitted"
	MemoryAfterWait = "admitted_after_wait"
	// MemoryRefused: no engine has memory in time.
	MemoryRefused = "refused"
	// MemoryRefusedLate: the same, for a caller that has waited longer than its target.
	MemoryRefusedLate = "refused_late"
	// MemoryGrowthRefused: an engine could not reserve the growth that the forecast expects.
	MemoryGrowthRefused = "growth_refused"
	// MemoryLeaves: a stream should leave its engine, which is expected to overflow.
	MemoryLeaves = "leaves"
)

// MemoryDecided counts a decision on the memory of decode engines by forecast.
func (s *Set) MemoryDecided(service, outcome string) {
	s.memory.WithLabelValues(service, outcome).Inc()
}

// Withheld counts a request that was not logged because of the limit of log lines.
func (s *Set) Withheld() { s.withheld.Inc() }

// RegisterGauge registers a gauge whose value is read at each scrape.
func (s *Set) RegisterGauge(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// ObserveDuration records the duration of a request from its arrival to its end.
func (s *Set) ObserveDuration(service string, elapsed time.Duration) {
	s.requestSeconds.WithLabelValues(service).Observe(elapsed.Seconds())
}

// CountRejectedPeers registers a counter of the sibling connections that were rejected
// because the client had no valid certificate.
func (s *Set) CountRejectedPeers(count func() int64) {
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_strangers_total", Help: "Sibling connections refused for want of a valid key.",
	}, func() float64 { return float64(count()) }))
}

// RegisterCounter registers a counter whose value is read at each scrape.
func (s *Set) RegisterCounter(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}
