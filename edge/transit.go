package edge

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
)

// transit bounds from below when messages of siblings were sent, in times of this instance. A message may
// have waited for seconds before it is handled: in the socket's buffer while this process stood still, or in
// a queue on its way. Its age then must not count as less.
//
// Each message has its sender's uptime, so all of one run of a sibling are dated once the run's start is
// bounded. The sibling echoes uptimes of this instance for that: a message that echoes one was sent after it.
// Unlike the least delay that was seen, this bound holds even if all messages of a run were late.
type transit struct {
	mu   sync.Mutex
	runs map[string]*siblingRun // by name
}

// siblingRun is what is known of one run of a sibling.
type siblingRun struct {
	run operation.Incarnation
	// began is a time at or before which the run did not begin, as known at the time at. It is zero if
	// unknown.
	began, at time.Time
	// askedAt is when this instance last requested an echo, and handledAt when it last handled a message.
	askedAt, handledAt time.Time
}

const (
	// maxDrift is the rate at which the clocks of two instances may drift apart. It is the most by which the
	// kernel slews a clock (adjtimex(2)).
	maxDrift = 500e-6
	// looseTransit is the time in transit above which a new echo is requested, since the bound may be the
	// cause. With maxDrift that happens every 100 s or so.
	looseTransit = 50 * time.Millisecond
	// echoEvery is the least pause between two requests to one sibling while the start of its run is not
	// bounded, and echoAgainEvery later. A busy instance handles all messages late.
	echoEvery      = 500 * time.Millisecond
	echoAgainEvery = 2 * time.Second
	// forgetRunAfter is the time without messages after which a run is forgotten.
	forgetRunAfter = time.Minute
)

// dateMessage returns a time at or before which a message was not sent, zero if unknown. It answers a request
// for an echo, and requests one if the message may show that this instance's data is newer than known.
func (in *Instance) dateMessage(message heartbeat.Message, now time.Time) (sentAt time.Time) {
	from := message.From
	if from.Name == "" || from.Name == in.config.Name {
		return time.Time{}
	}
	if echo := message.Echo; echo != nil && echo.Run == operation.Incarnation(in.incarnation.Load()) {
		in.transit.Echoed(from.Name, from.Incarnation, from.Uptime, in.started.Add(echo.Uptime), now)
	}
	sentAt, _ = in.transit.SentAt(from.Name, from.Incarnation, from.Uptime, now)
	request := in.mayConfirm(message, now) && in.transit.RequestDue(from.Name, from.Incarnation, sentAt, now)
	if from.Peer != "" && (request || message.RequestEcho) {
		in.sendEcho(from, request)
	}
	return sentAt
}

// sendEcho sends the echo of a sibling's message, with the ages of this instance's data, and requests one.
func (in *Instance) sendEcho(to member.Info, request bool) {
	sentAt := clock.Now()
	table, servers := in.tableFeed.age(sentAt), in.list.age(sentAt)
	in.send(heartbeat.Message{
		From: in.infoAt(sentAt), NoLoads: true, Hubs: in.usesHubs(), TableContactAge: table, ServersContactAge: servers,
		Echo: heartbeat.EchoOf(to), RequestEcho: request,
	}, to.Peer)
}

// mayConfirm reports whether the ages in a message, counted from now, are news to this instance.
func (in *Instance) mayConfirm(message heartbeat.Message, now time.Time) bool {
	newer := func(age *time.Duration, f *feed) bool { return age != nil && now.Add(-*age).After(f.certain()) }
	history := message.Origins != nil && message.Origins.History != nil
	return history || newer(message.TableContactAge, in.tableFeed) || newer(message.ServersContactAge, in.list)
}

func newTransit() *transit { return &transit{runs: make(map[string]*siblingRun)} }

// of returns the record of a run, which is nil for a run that has ended. The caller holds the lock.
func (t *transit) of(name string, run operation.Incarnation) *siblingRun {
	known := t.runs[name]
	if known == nil || known.run < run {
		known = &siblingRun{run: run}
		t.runs[name] = known
	}
	if known.run > run {
		return nil
	}
	return known
}

// lowered returns the bound of a run's start at a time. The sibling's clock may have run faster since.
func (r *siblingRun) lowered(now time.Time) time.Time {
	return r.began.Add(-time.Duration(maxDrift * float64(now.Sub(r.at))))
}

// Echoed applies a message that a run sent at an uptime after a time of this instance.
func (t *transit) Echoed(name string, run operation.Incarnation, uptime time.Duration, after, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(name, run)
	if known == nil || after.After(now) {
		return
	}
	if began := after.Add(-uptime); known.began.IsZero() || began.After(known.lowered(now)) {
		known.began, known.at = began, now
	}
}

// SentAt returns a time at or before which a run's message was not sent. It returns false if that is unknown.
func (t *transit) SentAt(name string, run operation.Incarnation, uptime time.Duration, now time.Time) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(name, run)
	if known == nil {
		return time.Time{}, false
	}
	known.handledAt = now
	if known.began.IsZero() {
		return time.Time{}, false
	}
	if at = known.lowered(now).Add(uptime); at.After(now) {
		at = now
	}
	return at, true
}

// RequestDue reports whether an echo should be requested from a run whose message was handled, and records
// that it is. sentAt is the result of SentAt.
func (t *transit) RequestDue(name string, run operation.Incarnation, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(name, run)
	if known == nil || now.Sub(sentAt) <= looseTransit {
		return false
	}
	pause := echoAgainEvery
	if known.began.IsZero() {
		pause = echoEvery
	}
	if now.Sub(known.askedAt) < pause {
		return false
	}
	known.askedAt = now
	return true
}

// Forget drops the runs that have sent nothing for long.
func (t *transit) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, known := range t.runs {
		if now.Sub(known.handledAt) > forgetRunAfter {
			delete(t.runs, name)
		}
	}
}
