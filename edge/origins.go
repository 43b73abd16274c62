package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
)

// A caller may take a stream up at any instance, which then has to know at which release the stream
// began. While one release of a service has served for as long as streams may last, it is that one.
// Otherwise a few instances, the keepers, have a record of each stream, and any instance asks them. If they
// do not know, it reads the records that the platform's store has (storedOrigins).

const (
	// originKeepers is how many instances keep the record of a stream. Half of the instances may be
	// killed at once; more keepers cost a datagram a stream each.
	originKeepers = 3
	// originAsked is how many instances are asked where a stream began: the keepers, and those that are
	// keepers in the view of an instance that knows other siblings.
	originAsked = 8
	// originTimeout bounds the wait for their answers. It allows for a round trip between zones and a
	// busy sibling, and leaves most of the time in which a caller should be refused.
	originTimeout = 150 * time.Millisecond
	// originDoubtWait is how long a lookup waits for the other siblings once one has named a release, because
	// one of them may know that nobody can know it. It allows for a round trip between zones; without a
	// silent sibling all have answered sooner.
	originDoubtWait = 50 * time.Millisecond
	// Doubts are sent doubtRepeats more times, at least doubtRepeatEvery apart, since an older record counts where
	// one is lost. A sibling that is out of reach for longer is introduced again (missedAfter).
	doubtRepeats     = 5
	doubtRepeatEvery = 200 * time.Millisecond
	// originWindow is how long ago a stream that its caller takes up may have begun, at least. Callers
	// that state no deadline are given a minute. Where routes allow more time, it is originTries times
	// the longest timeout of a route, because a caller tries a few times.
	originWindow = time.Minute
	originTries  = 3
	// longAgo is before any stream that may be taken up.
	longAgo = 24 * time.Hour
	// originRecords bounds the records of each kind: 56 streams a second of an instance, kept for a
	// minute for each of three others (source: the size to design for, docs/CAPACITY.md).
	originRecords = 16_384
	// originGrace is how much longer than its caller waits the record of a stream is kept.
	originGrace = 5 * time.Second
	// listFreshFor is the age up to which the list of servers is relied on for the releases that serve.
	// Without faults it is confirmed each Config.FreshFor and a few checks, 1.2 s at most.
	listFreshFor = 1500 * time.Millisecond
	// originBatch is the least pause between two sends of records, so that many share a datagram. A
	// record that was not sent is lost with its instance.
	originBatch = 10 * time.Millisecond
	// originsInMessage bounds the records in one datagram, about 27 bytes each.
	originsInMessage = 48
	// runMattersFor is for how long a record tells the run of the server at which the stream began: until the
	// list of each instance shows a later run that may have begun it.
	runMattersFor = 2 * doubtFor
)

// origins holds where streams began, as far as this instance knows.
type origins struct {
	*Instance
	// own holds the streams that began at this instance, kept those of siblings.
	own, kept *origin.Records
	releases  *origin.Releases
	// listedUpTo is the position of the list of servers that releases follows from.
	listedUpTo atomic.Uint64
	// firstListedAt is when this instance got its first list of servers.
	firstListedAt atomic.Pointer[time.Time]
	// informed is set once the store or a sibling has told which releases are announced.
	informed atomic.Bool
	// leastWindow is originWindow, but for tests.
	leastWindow time.Duration

	// learning is held while what the store or a sibling has of the releases is applied. A history that is sent meanwhile
	// would count as complete without its announcements.
	learning sync.Mutex

	mu sync.Mutex
	// unsent holds the own records that are still to be sent to their keepers.
	unsent []origin.Record
	// newcomers holds the addresses of instances that have just appeared, until they are sent the records
	// that they keep.
	newcomers []string
	// waiting holds the lookups that wait for answers of siblings. Those of one stream ask together (asking),
	// because answers do not name their sender and would count for each of them.
	waiting map[origin.Key]chan originAnswer
	asking  singleflight.Group
	// doubts holds the own doubts that are to be sent again. Only run uses it.
	doubts []repeatedDoubt
	// ambiguous holds the services whose records were sent to the keepers, because the release of a
	// stream is not known without them.
	ambiguous map[string]bool
	// historyAt is when the releases that serve were last known to be complete from a sibling's list.
	historyAt time.Time
	// servedHistory holds the announcements that this instance last sent to those that it serves as a hub.
	// Only the heartbeat loop uses it.
	servedHistory origin.Announced
	woken         chan struct{}
	// listedEra is the era of the store of the last list of servers. Only setListed uses it.
	listedEra uint64
	// announcerWoken wakes the announcer.
	announcerWoken chan struct{}
	// removed holds the servers that have left the list lately, by their ids. Only doubtRestarted uses it.
	removed map[string]removedServer
	// stored holds the records that are appended to the store or were read there.
	stored *storedOrigins
}

func newOrigins(in *Instance) *origins {
	o := &origins{
		Instance: in, own: origin.NewRecords(originRecords), kept: origin.NewRecords(originRecords), releases: origin.NewReleases(originWindow), leastWindow: originWindow,
		waiting: make(map[origin.Key]chan originAnswer), ambiguous: make(map[string]bool), woken: make(chan struct{}, 1),
		announcerWoken: make(chan struct{}, 1), removed: make(map[string]removedServer), stored: newStoredOrigins(in),
	}
	if in.config.FirstStart {
		o.releases.Extend(in.started.Add(-longAgo), nil, in.started)
	}
	return o
}

// Began records where a stream began that its caller may take up until a time. request is the ID of the
// request that brought its first event, and server the run of the server.
func (o *origins) Began(request string, at origin.Origin, server string, until time.Time) {
	now := clock.Now()
	one := origin.Record{Key: origin.KeyOf(request), At: at, Until: until.Add(originGrace), Run: origin.RunOf(server), Began: now}
	one.At = o.own.PutRecord(one, now)
	if _, sole := o.soleRelease(at.Service, now); !sole || one.IsDoubt() {
		o.enqueue(one)
	}
}

func (o *origins) enqueue(records ...origin.Record) {
	o.mu.Lock()
	o.unsent = append(o.unsent, records...)
	o.unsent, _ = dropExcess(o.unsent, func(one *origin.Record) bool { return one.IsDoubt() })
	o.mu.Unlock()
	o.wake()
}

// wake ends the pause of the loop that sends records.
func (o *origins) wake() {
	select {
	case o.woken <- struct{}{}:
	default:
	}
}

// soleRelease returns the only release of a service at which a stream that callers may take up can have
// begun, if this instance knows that there is just one.
func (o *origins) soleRelease(service string, now time.Time) (string, bool) {
	if !o.isCurrent(now) || o.isBehind() || o.listedUpTo.Load() != uint64(o.registry.View().Position) {
		return "", false
	}
	return o.releases.Sole(service, now)
}

// isCurrent reports whether the releases that serve are known up to now. An instance that knows only a
// subset of the servers relies on its hub for that, which sends them with each digest.
func (o *origins) isCurrent(now time.Time) bool {
	if !o.registry.View().IsSubset {
		return now.Sub(o.list.confirmed()) <= listFreshFor
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.historyAt) <= listFreshFor+o.config.KeepAliveEvery
}

// isBehind reports whether a sibling has changes of the list of servers that this instance lacks.
func (o *origins) isBehind() bool {
	view := o.registry.View()
	if view.IsSubset {
		return false
	}
	for _, sibling := range o.members.View().Siblings {
		if sibling.Serves() && sibling.Next > uint64(view.Position) {
			return true
		}
	}
	return false
}

// Find returns where a stream of a service began, and how that is known. request is the ID of the
// request that brought its first event, empty if the caller does not name it.
func (o *origins) Find(ctx context.Context, request, service string) (origin.Origin, metrics.OriginSource) {
	key := keyOf(request, service)
	at, source := o.lookUp(key, service, clock.Now())
	if source == metrics.OriginUnknown {
		at, source = o.findElsewhere(ctx, key, service)
	}
	// A doubt may have arrived in the meantime.
	if at == (origin.Origin{}) || o.isDoubted(key, clock.Now()) {
		return origin.Origin{}, metrics.OriginUnknown
	}
	return at, source
}

// keyOf returns the key of a stream of a service. Streams whose caller does not name them have one key per service,
// since lookups with the same key share an answer. No request has the ID that it is made from, and so none has a record.
func keyOf(request, service string) origin.Key {
	if request == "" {
		return origin.KeyOf("\x00" + service)
	}
	return origin.KeyOf(request)
}

// findElsewhere asks siblings where a stream began, and then looks for it in the store.
func (o *origins) findElsewhere(ctx context.Context, key origin.Key, service string) (origin.Origin, metrics.OriginSource) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	// If a sibling does not answer, half of the time is left for the store.
	late := time.AfterFunc(originTimeout/2, func() { o.stored.requestRead() })
	defer late.Stop()
	if at, known := o.ask(ctx, key, service); known {
		return at, metrics.OriginSibling
	}
	if at, known := o.stored.find(ctx, key); known {
		return at, metrics.OriginStore
	}
	return origin.Origin{}, metrics.OriginUnknown
}

// lookUp returns where a stream began, as far as this instance knows.
func (o *origins) lookUp(key origin.Key, service string, now time.Time) (origin.Origin, metrics.OriginSource) {
	if o.isDoubted(key, now) {
		return origin.Origin{}, metrics.OriginRecord
	}
	for _, records := range []*origin.Records{o.own, o.kept} {
		if at, known := records.Find(key, now); known {
			return at, metrics.OriginRecord
		}
	}
	if release, sole := o.soleRelease(service, now); sole {
		return origin.Origin{Service: service, Release: release}, metrics.OriginSole
	}
	return origin.Origin{}, metrics.OriginUnknown
}

// apply applies what a sibling sends about where streams began. sentAt is a time at or before which the
// message was not sent, zero if unknown.
func (o *origins) apply(message heartbeat.Message, sentAt, now time.Time) {
	origins := message.Origins
	if origins == nil {
		return
	}
	origins.EachRecord(origins.Began, origins.BeganRuns, now, now, func(one origin.Record) { o.kept.PutRecord(one, now) })
	origins.EachRecord(origins.ToStore, origins.ToStoreRuns, now, now, func(one origin.Record) { o.stored.enqueue(one) })
	for _, answer := range origins.Answers {
		at, known := origins.Origin(answer.At)
		o.answered(answer.Key, originAnswer{at, known})
	}
	o.applyHistory(origins, sentAt, now)
	if len(origins.Questions) > 0 && message.From.Peer != "" {
		o.answer(origins.Questions, message.From, now)
	}
}
