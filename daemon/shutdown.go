package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/upstream"
	"github.com/mastwheel/mastwheel/wait"
)

// The times before the kill with which the platform ends the grace period. They leave room for an instance with a fifth of a
// core, which may have to wait 100 ms for processor time.
const (
	// unbegunReserve is when requests are ended of which the callers have nothing. Their statuses are to be written.
	unbegunReserve = 400 * time.Millisecond
	// answerReserve is when answers are ended that are arriving. Only what has come is passed on then, and the log lines of the
	// streams that are cut are written.
	answerReserve = 200 * time.Millisecond
	// exitReserve is when the process begins to exit, whatever is left.
	exitReserve = 100 * time.Millisecond
	// LogFlushTimeout bounds the wait for the log to be written at the exit. It leaves the other half of exitReserve for the
	// exit of the process.
	LogFlushTimeout = exitReserve / 2
	// idleExitLead is how long before the end of the first requests an instance without requests in flight exits. Callers that
	// still keep its address then find another instance sooner.
	idleExitLead = 900 * time.Millisecond
)

const (
	// lateEnd is how long answers to requests that were ended are awaited at least. A process that had no processor time for a
	// while comes to its end late, and loses nothing if it is killed while it waits.
	lateEnd = 100 * time.Millisecond
	// idlePollInterval is the pause between two checks for requests in flight.
	idlePollInterval = 20 * time.Millisecond
	// endedPollInterval is the pause between two checks for answers to requests that were ended.
	endedPollInterval = 2 * time.Millisecond
)

// shutdown is a graceful shutdown. The instance keeps serving for as long as the platform allows, because callers keep its address
// for a while after siblings have stopped returning it. Then it ends what is left.
type shutdown struct {
	instance string
	grace    time.Duration
	// begin makes the instance refuse what it cannot end before a time, and withdraw takes it off the list of instances. depart
	// tells the siblings that its requests have ended.
	begin    func(now, ends time.Time)
	withdraw func(ctx context.Context)
	depart   func()
	// endReads ends the requests that have not come completely, endUnbegun those of which the callers have nothing, and end all.
	endReads, endUnbegun, end func()
	// inFlight counts requests, unanswered the answers that are not written, and unread the connections that wait to be accepted or
	// have a request that was not read. isIdle reports whether there is none of these.
	inFlight, unanswered, unread func() int
	isIdle                       func() bool
	// lapse returns how much sooner the signal to stop may have been sent than it was seen.
	lapse func(now time.Time) time.Duration
	// ended counts the requests that endUnbegun and end have ended.
	ended func() (unbegun, begun int)
}

// shutdown returns the graceful shutdown of the instance.
func (p *Platform) shutdown() *shutdown {
	return &shutdown{
		instance: p.settings.Name, grace: p.settings.Bounds.Grace,
		begin: p.gateway.Stop, withdraw: p.edge.Stop, depart: p.edge.Depart,
		endReads: func() { p.ingress.EndReads(); p.siblings.EndReads() }, endUnbegun: p.gateway.EndUnbegun, end: p.gateway.End,
		inFlight: p.gateway.InFlight, unanswered: p.ingress.Answering, unread: p.unread, isIdle: p.isIdle, lapse: p.lapses.recent, ended: p.gateway.EndedByShutdown,
	}
}

// run shuts down an instance that was told to stop at a time. It returns once all answers are written, or shortly before the
// process is killed, and then says when the process exits at the latest.
func (s *shutdown) run(began time.Time) (exits time.Time) {
	killed := began.Add(s.grace)
	// The kill may come sooner by the lapse. Statuses must be written by then. Answers are read for as long as the process runs.
	lapse := min(s.lapse(began), s.grace/2)
	unbegunEnds := killed.Add(-unbegunReserve - lapse)
	s.begin(began, unbegunEnds)
	klog.InfoS("Graceful shutdown begins", "instance", s.instance, "inFlight", s.inFlight(), "lapseMillis", lapse.Milliseconds())
	ctx, cancel := context.WithCancel(context.Background())
	withdrawn := make(chan struct{})
	go func() {
		// A store that does not answer must not hold up the rest.
		defer close(withdrawn)
		s.withdraw(ctx)
	}()
	pollUntil(unbegunEnds.Add(-idleExitLead), idlePollInterval, func() bool { return false })
	pollUntil(unbegunEnds, idlePollInterval, s.isIdle)
	exits = s.endRequests(killed)
	s.depart()
	cancel()
	<-withdrawn
	unbegun, begun := s.ended()
	klog.InfoS("Graceful shutdown ends", "instance", s.instance, "tookMillis", clock.Since(began).Milliseconds(), "graceMillis", s.grace.Milliseconds(),
		"ended", unbegun+begun, "endedInAnswer", begun, "readAtEnd", upstream.ReadAtEnd(), "unanswered", s.unanswered(), "unread", s.unread())
	return exits
}

// endOfUnbegun returns when a sibling that has left since a time ends the requests of which the callers have nothing. It is zero if
// the sibling does not leave, or did before another time. All instances have the same grace period.
func endOfUnbegun(leavingSince, after time.Time, grace time.Duration) time.Time {
	if leavingSince.IsZero() || leavingSince.Before(after) {
		return time.Time{}
	}
	return leavingSince.Add(grace - unbegunReserve)
}

// endRequests ends the requests that are left and waits for their answers to be written. A request that comes meanwhile is
// refused: it must not be passed on by a process that is about to exit, at the latest at the time that endRequests returns.
func (s *shutdown) endRequests(killed time.Time) (exits time.Time) {
	s.endUnbegun()
	s.endReads()
	pollUntil(killed.Add(-answerReserve), endedPollInterval, s.isIdle)
	s.end()
	s.endReads()
	exits = killed.Add(-exitReserve)
	if late := clock.Now().Add(lateEnd); late.After(exits) {
		exits = late
	}
	pollUntil(exits, endedPollInterval, s.isIdle)
	return exits
}

// pollUntil waits until a condition holds, at most until a time of package clock. It sees at once that the time passed while the
// process was suspended, other than a timer for all of it.
func pollUntil(at time.Time, interval time.Duration, holds func() bool) {
	for clock.Now().Before(at) && !holds() {
		wait.For(context.Background(), min(interval, clock.Until(at)))
	}
}
