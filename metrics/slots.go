package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of labels of the metrics of servers with few slots.
const (
	labelPriority = "priority"
	labelDecision = "decision"
)

// slotMetrics are the metrics of plain services whose servers have few slots.
type slotMetrics struct {
	decisions *prometheus.CounterVec
	waiting   *prometheus.GaugeVec
	waits     *prometheus.HistogramVec
}

// slotWaitBuckets are buckets from a wait within a target of 120 ms to one of half of the time
// that callers wait.
var slotWaitBuckets = []float64{0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1, 2}

func newSlotMetrics() *slotMetrics {
	return &slotMetrics{
		decisions: counters("slot_decisions_total", "Calls to services whose servers have few slots, by decision.", labelService, labelDecision),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "slot_queue_calls", Help: "Calls that wait in this instance for a slot, by priority of their route.",
		}, []string{labelService, labelPriority}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "slot_wait_seconds", Help: "Time that calls waited in this instance for a slot, by priority of their route.", Buckets: slotWaitBuckets,
		}, []string{labelService, labelPriority}),
	}
}

// SlotDecided counts a decision about a call to a service whose servers have few slots.
func (s *Set) SlotDecided(service, decision string) {
	s.slots.decisions.WithLabelValues(service, decision).Inc()
}

const (
	// maxPrioritySeries is the number of priorities with their own series, from 0. Operators choose priorities freely, and
	// each has a histogram.
	maxPrioritySeries = 10
	// otherPriorities is the label value of all other priorities.
	otherPriorities = "(others)"
)

// priorityLabel returns the label value under which calls of a priority are counted.
func priorityLabel(priority int) string {
	if priority < 0 || priority >= maxPrioritySeries {
		return otherPriorities
	}
	return strconv.Itoa(priority)
}

// SlotWaitBegan counts a call that begins to wait for a slot.
func (s *Set) SlotWaitBegan(service string, priority int) {
	s.slots.waiting.WithLabelValues(service, priorityLabel(priority)).Inc()
}

// SlotWaitEnded counts a call that no longer waits for a slot, after the given time.
func (s *Set) SlotWaitEnded(service string, priority int, waited time.Duration) {
	label := priorityLabel(priority)
	s.slots.waiting.WithLabelValues(service, label).Dec()
	s.slots.waits.WithLabelValues(service, label).Observe(waited.Seconds())
}
