package edge

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/wait"
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
	// leastWindow is originWindow, but for tests.
	leastWindow time.Duration

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

// repeatedDoubt is a doubt that is sent so many more times, next at a time.
type repeatedDoubt struct {
	origin.Record
	left int
	next time.Time
}

// removedServer is the last run of a server that left the list at a time.
type removedServer struct {
	run, release string
	at           time.Time
}

type originAnswer struct {
	at    origin.Origin
	known bool
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

// doubtRestarted records that nobody can know where the last streams began of servers that are back
// under their ids at another release. When these streams began, the list may have shown the former run, also if it
// has shown none since.
func (o *origins) doubtRestarted(before, after *registry.View, now time.Time) {
	if before == nil {
		return
	}
	o.noteRemoved(before, after, now)
	replaced, relisted := make(map[origin.Run]bool), make(map[origin.Run]bool)
	for i := range after.Servers {
		server := &after.Servers[i]
		former, wasRemoved := o.removed[server.ID]
		if old := before.Find(server.ID); old != nil {
			former = removedServer{run: old.Run(), release: old.Release}
		} else if !wasRemoved {
			former.release = server.Release
		}
		// The runs of a server that states no start time have one name.
		if former.run == server.Run() && former.release == server.Release {
			continue
		}
		relisted[origin.RunOf(server.Run())] = true
		if former.release != server.Release {
			replaced[origin.RunOf(former.run)] = true
		}
	}
	if len(replaced) > 0 {
		enqueue := func(doubt origin.Record) { o.enqueue(doubt) }
		since := now.Add(-doubtFor)
		o.own.Doubt(replaced, since, now, enqueue)
		// The instances that began these streams may have ended.
		o.kept.Doubt(replaced, since, now, enqueue)
		o.stored.records.Doubt(replaced, since, now, func(origin.Record) {})
	}
	for _, records := range []*origin.Records{o.own, o.kept, o.stored.records} {
		records.Relisted(relisted, now)
	}
}

// noteRemoved remembers the servers that a list no longer has, for as long as their last streams may be doubted.
func (o *origins) noteRemoved(before, after *registry.View, now time.Time) {
	maps.DeleteFunc(o.removed, func(_ string, one removedServer) bool { return now.Sub(one.at) > doubtFor })
	for i := range before.Servers {
		server := &before.Servers[i]
		if after.Find(server.ID) == nil {
			o.removed[server.ID] = removedServer{run: server.Run(), release: server.Release, at: now}
		}
	}
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

// isDoubted reports whether any record says that nobody can know where a stream began. An instance may have
// older records of the stream too: each kind of them gets the stream from elsewhere.
func (o *origins) isDoubted(key origin.Key, now time.Time) bool {
	for _, records := range []*origin.Records{o.own, o.kept, o.stored.records} {
		if at, known := records.Find(key, now); known && at == (origin.Origin{}) {
			return true
		}
	}
	return false
}

// ask asks siblings where a stream began. The origin is zero if one of them knows that nobody can know.
func (o *origins) ask(ctx context.Context, key origin.Key, service string) (origin.Origin, bool) {
	// The result is shared, so the end of one request must not end the lookup of another one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
	defer cancel()
	answer, _, _ := o.asking.Do(strconv.FormatUint(uint64(key), 36), func() (any, error) {
		return o.askSiblings(ctx, key, service), nil
	})
	return answer.(originAnswer).at, answer.(originAnswer).known
}

// askSiblings returns what the siblings know until all have answered, originDoubtWait after one has named a
// release, or until ctx ends. If one knows that nobody can know, or two name different releases, nobody can know.
func (o *origins) askSiblings(ctx context.Context, key origin.Key, service string) (found originAnswer) {
	known := o.directory()
	asked := o.withHubs(known.keepers(key, originAsked))
	if len(asked) == 0 {
		return originAnswer{}
	}
	answers := make(chan originAnswer, len(asked))
	o.mu.Lock()
	o.waiting[key] = answers
	o.mu.Unlock()
	defer o.stopWaiting(key)
	message := heartbeat.Message{From: o.info(), NoLoads: true, Hubs: o.usesHubs(), Origins: &origin.Message{Questions: []origin.Question{{Key: key, Service: service}}}}
	o.send(message, asked...)
	var waited <-chan time.Time
	for range asked {
		select {
		case answer := <-answers:
			switch {
			case !answer.known:
			case answer.at == (origin.Origin{}) || (found.known && answer.at != found.at):
				return originAnswer{known: true}
			case !found.known:
				found = answer
				timer := time.NewTimer(originDoubtWait)
				defer timer.Stop()
				waited = timer.C
			}
		case <-waited:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

func (o *origins) stopWaiting(key origin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, key)
}

// directory holds the names and addresses of the instances that may keep records. The address of this
// instance is empty.
type directory struct{ names, addresses []string }

func (o *origins) directory() directory {
	d := directory{[]string{o.config.Name}, []string{""}}
	for _, sibling := range o.members.View().Siblings {
		if sibling.Serves() {
			d.add(sibling.Name, sibling.Peer)
		}
	}
	return d
}

func (d *directory) add(name, address string) {
	d.names, d.addresses = append(d.names, name), append(d.addresses, address)
}

// keepers returns the addresses of the siblings that keep the record of a stream.
func (d *directory) keepers(key origin.Key, most int) []string {
	var selected []string
	for _, i := range origin.Keepers(key, d.names, most) {
		if d.addresses[i] != "" {
			selected = append(selected, d.addresses[i])
		}
	}
	return selected
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

func (o *origins) answered(key origin.Key, answer originAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.waiting[key] <- answer:
	default:
	}
}

// answer answers the questions of a sibling. An instance that reads the store's records does so for one that
// does not, and answers later then.
func (o *origins) answer(questions []origin.Question, to member.Info, now time.Time) {
	reply := new(origin.Message)
	for _, question := range questions[:min(len(questions), originsInMessage)] {
		answer := origin.Answer{Key: question.Key, At: origin.Unknown}
		if at, known := o.answerFor(question, to, now); known {
			answer.At = reply.Index(at)
		} else if to.UsesSubset && o.stored.answerLater(question.Key, to.Peer) {
			continue
		}
		reply.Answers = append(reply.Answers, answer)
	}
	if len(reply.Answers) == 0 {
		return
	}
	o.send(heartbeat.Message{Origins: reply}, to.Peer)
}

// answerFor returns where the stream of a sibling's question began, as far as this instance knows. The only
// release in its list is none to a sibling with a newer list, which may have another.
func (o *origins) answerFor(question origin.Question, to member.Info, now time.Time) (origin.Origin, bool) {
	at, source := o.lookUp(question.Key, question.Service, now)
	if source == metrics.OriginSole && !to.UsesSubset && to.Next > uint64(o.registry.View().Position) {
		return origin.Origin{}, false
	}
	return at, source != metrics.OriginUnknown
}

// run sends the records of streams to their keepers until ctx ends, and the records of all streams of a
// service once its release is no longer known without them. It is woken when there is something to send,
// and by each tick of the instance.
func (o *origins) run(ctx context.Context) {
	for more := true; more; more = wait.For(ctx, originBatch) {
		select {
		case <-ctx.Done():
			return
		case <-o.woken:
		}
		now := clock.Now()
		o.reviewServices(now)
		o.reviewStored(now)
		o.mu.Lock()
		unsent, newcomers := o.unsent, o.newcomers
		o.unsent, o.newcomers = nil, nil
		o.mu.Unlock()
		o.sendRecords(unsent, now)
		o.repeatDoubts(unsent, now)
		if len(newcomers) > 0 {
			// Doubts of siblings are sent too: the siblings may have ended.
			o.sendToKeepers(append(o.ambiguousRecords(now), recordsOf(o.kept, noService, now)...), newcomers, now)
		}
	}
}

// repeatDoubts sends again the doubts that are due, and has those among the records that were just sent be sent
// again. They expire with the time that the callers of their streams have.
func (o *origins) repeatDoubts(sent []origin.Record, now time.Time) {
	var due []origin.Record
	kept := o.doubts[:0]
	for _, one := range o.doubts {
		if !now.Before(one.next) {
			due = append(due, one.Record)
			one.left--
			one.next = now.Add(doubtRepeatEvery)
		}
		if one.left > 0 && now.Before(one.Until) {
			kept = append(kept, one)
		}
	}
	o.doubts = kept
	o.sendToKeepers(due, nil, now)
	for _, one := range sent {
		if one.IsDoubt() && len(o.doubts) < originRecords {
			o.doubts = append(o.doubts, repeatedDoubt{one, doubtRepeats, now.Add(doubtRepeatEvery)})
		}
	}
}

// ambiguousRecords returns the own doubts, and the own records of all services whose streams' release is not known
// without them.
func (o *origins) ambiguousRecords(now time.Time) []origin.Record {
	o.mu.Lock()
	ambiguous := maps.Clone(o.ambiguous)
	o.mu.Unlock()
	records := recordsOf(o.own, noService, now)
	for service, is := range ambiguous {
		if is {
			records = append(records, recordsOf(o.own, service, now)...)
		}
	}
	return records
}

// noService is the service of doubts: nobody can know where the stream began.
const noService = ""

// reviewServices queues the records of a service's streams when its release is no longer known without
// them.
func (o *origins) reviewServices(now time.Time) {
	for service := range o.own.Services() {
		if service == noService {
			continue
		}
		_, sole := o.soleRelease(service, now)
		o.mu.Lock()
		before := o.ambiguous[service]
		o.ambiguous[service] = !sole
		o.mu.Unlock()
		if !sole && !before {
			if records := recordsOf(o.own, service, now); len(records) > 0 {
				o.enqueue(records...)
			}
		}
	}
}

// recordsOf returns the records of a service that have not expired.
func recordsOf(all *origin.Records, service string, now time.Time) (records []origin.Record) {
	all.Each(service, now, func(one origin.Record) { records = append(records, one) })
	return records
}

// sendRecords sends records to their keepers and to the instances that append them to the store.
func (o *origins) sendRecords(records []origin.Record, now time.Time) {
	if len(records) == 0 {
		return
	}
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	messages.addForKeepers(records, nil)
	o.sendToStore(records, &messages)
	messages.flush()
}

// sendToKeepers sends records to their keepers or, if only is not nil, to those that have the given addresses.
func (o *origins) sendToKeepers(records []origin.Record, only []string, now time.Time) {
	if len(records) == 0 {
		return
	}
	messages := recordMessages{origins: o, now: now, to: make(map[string]*origin.Message)}
	messages.addForKeepers(records, only)
	messages.flush()
}

// recordMessages collects the records that are to be sent to each address.
type recordMessages struct {
	*origins
	now time.Time
	to  map[string]*origin.Message
}

// addForKeepers adds each record for its keepers, if they have one of the given addresses or only is nil. A
// doubt goes to all instances that may be asked: any of them may have an older record.
func (m *recordMessages) addForKeepers(records []origin.Record, only []string) {
	known := m.directory()
	for _, one := range records {
		keepers := originKeepers
		if one.IsDoubt() {
			keepers = originAsked
		}
		for _, keeper := range known.keepers(one.Key, keepers) {
			if only == nil || slices.Contains(only, keeper) {
				m.add(keeper, one, false)
			}
		}
	}
}

// add adds a record for an instance, which is to keep it or to append it to the store.
func (m *recordMessages) add(address string, one origin.Record, toStore bool) {
	message := m.to[address]
	if message == nil {
		message = new(origin.Message)
		m.to[address] = message
	}
	began, run := one.Message(message.Index(one.At), runMattersFor, m.now)
	if toStore {
		message.ToStore, message.ToStoreRuns = append(message.ToStore, began), append(message.ToStoreRuns, run)
	} else {
		message.Began, message.BeganRuns = append(message.Began, began), append(message.BeganRuns, run)
	}
	if len(message.Began)+len(message.ToStore) == originsInMessage {
		m.send(heartbeat.Message{Origins: message}, address)
		delete(m.to, address)
	}
}

// flush sends what has not been sent.
func (m *recordMessages) flush() {
	for address, message := range m.to {
		m.send(heartbeat.Message{Origins: message}, address)
	}
}
