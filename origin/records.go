package origin

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream. It is a hash of the ID of the request that brought its first event.
type Key uint64

// KeyOf returns the key of the stream whose first event a request brought.
func KeyOf(request string) Key { return Key(xxhash.Sum64String(request)) }

// Records holds where streams began, for as long as their callers may take them up. Its size is bounded:
// the oldest records are dropped first.
type Records struct {
	most int

	mu    sync.Mutex
	byKey map[Key]record
	// order holds the keys in the order of their first insertion, from first on.
	order []Key
	first int
	// origins holds one copy of each origin in use.
	origins map[Origin]*Origin
	// doubted holds the runs of servers whose streams are doubted, also those whose records arrive later.
	doubted map[Run]doubtedSpan
}

// doubtedSpan is the time in which streams began that are doubted. It has no end if until is zero.
type doubtedSpan struct{ since, until time.Time }

func (s doubtedSpan) contains(at time.Time) bool {
	return at.After(s.since) && (s.until.IsZero() || !at.After(s.until))
}

const (
	// Runs are doubted for doubtedFor, the time for which a record may be on its way or not be read, and
	// doubtedRuns at most: those of servers that are back at another release.
	doubtedFor  = 5 * time.Minute
	doubtedRuns = 4096
)

type record struct {
	at    *Origin
	until time.Time
	// run is the run of the server at which the stream began, 0 if unknown, and began when it did.
	run   Run
	began time.Time
}

// NewRecords returns an empty set for at most the given number of records.
func NewRecords(most int) *Records {
	return &Records{most: most, byKey: make(map[Key]record), origins: make(map[Origin]*Origin), doubted: make(map[Run]doubtedSpan)}
}

// Put records where a stream began, until a time. A zero origin means that nobody can know.
func (r *Records) Put(key Key, at Origin, until, now time.Time) {
	r.PutRecord(Record{Key: key, At: at, Until: until}, now)
}

// PutOwn is like Put, for a stream that began now at the run of a server with a name. It returns the origin, zero if
// streams of the run are doubted.
func (r *Records) PutOwn(key Key, at Origin, server string, until, now time.Time) Origin {
	return r.PutRecord(Record{Key: key, At: at, Until: until, Run: RunOf(server), Began: now}, now)
}

// PutRecord adds a record and returns its origin. A record that nobody can know where a stream began stays until it
// expires: records of the stream that were sent or stored earlier may arrive later. The run at which a stream began
// stays too: a stream that is taken up goes on at another one, at the release where it began. A record of another
// release is that of a new stream, whose caller has used the ID of a request again.
func (r *Records) PutRecord(one Record, now time.Time) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(one, now)
}

// Merge is like PutRecord, for records that may come in another order than they were made. If two of them differ,
// nobody can know where the stream began.
func (r *Records) Merge(one Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.byKey[one.Key]; ok && *known.at != one.At && now.Before(known.until) {
		one.At = Origin{}
	}
	r.put(one, now)
}

// put is PutRecord. The caller holds the lock.
func (r *Records) put(one Record, now time.Time) Origin {
	next := record{until: one.Until, run: one.Run, began: one.Began}
	if known, ok := r.byKey[one.Key]; ok {
		if *known.at == (Origin{}) && now.Before(known.until) {
			one.At = Origin{}
		}
		if known.run != 0 && *known.at == one.At && now.Before(known.until) {
			next.run, next.began = known.run, known.began
		}
		if next.until.Before(known.until) {
			next.until = known.until
		}
	} else {
		r.dropOld(now)
		r.order = append(r.order, one.Key)
	}
	if span, doubted := r.doubted[next.run]; doubted && now.Sub(span.since) <= doubtedFor && span.contains(next.began) {
		one.At = Origin{}
	}
	next.at = r.shared(one.At)
	r.byKey[one.Key] = next
	return one.At
}

// shared returns the copy of an origin that all records use. The caller holds the lock.
func (r *Records) shared(at Origin) *Origin {
	if r.origins[at] == nil {
		r.origins[at] = &at
	}
	return r.origins[at]
}

// Doubt records that nobody can know where the streams began that began at runs of servers since a time, also those
// whose records are added later. It calls visit for each of them that was not doubted before.
func (r *Records) Doubt(runs map[Run]bool, since, now time.Time, visit func(doubt Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.doubted, func(_ Run, span doubtedSpan) bool { return now.Sub(span.since) > doubtedFor })
	for run := range runs {
		if len(r.doubted) < doubtedRuns {
			r.doubted[run] = doubtedSpan{since: since}
		}
	}
	for key, known := range r.byKey {
		if runs[known.run] && known.began.After(since) && now.Before(known.until) && *known.at != (Origin{}) {
			known.at = r.shared(Origin{})
			r.byKey[key] = known
			visit(Record{Key: key, Until: known.until})
		}
	}
}

// Relisted records that runs are listed from now on. A run may be listed again after a later one: a process that drains
// renews its entry beside its successor. Streams that begin there from now on are not doubted.
func (r *Records) Relisted(runs map[Run]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for run := range runs {
		if span, doubted := r.doubted[run]; doubted && span.until.IsZero() {
			span.until = now
			r.doubted[run] = span
		}
	}
}

// dropOld drops the oldest records that have expired, and one more if there is no room. The caller holds
// the lock.
func (r *Records) dropOld(now time.Time) {
	for r.first < len(r.order) {
		oldest := r.order[r.first]
		if len(r.byKey) < r.most && now.Before(r.byKey[oldest].until) {
			break
		}
		delete(r.byKey, oldest)
		r.first++
	}
	if len(r.byKey) == 0 {
		r.origins = make(map[Origin]*Origin)
	}
	if r.first > len(r.order)/2 {
		r.order = append(r.order[:0], r.order[r.first:]...)
		r.first = 0
	}
}

// Find returns where a stream began.
func (r *Records) Find(key Key, now time.Time) (Origin, bool) {
	one, known := r.FindRecord(key, now)
	return one.At, known
}

// FindRecord returns the record of a stream.
func (r *Records) FindRecord(key Key, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byKey[key]
	if !ok || !now.Before(known.until) {
		return Record{}, false
	}
	return known.export(key), true
}

func (r record) export(key Key) Record {
	return Record{Key: key, At: *r.at, Until: r.until, Run: r.run, Began: r.began}
}

// Each calls visit for each record of a service that has not expired.
func (r *Records) Each(service string, now time.Time, visit func(one Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, known := range r.byKey {
		if known.at.Service == service && now.Before(known.until) {
			visit(known.export(key))
		}
	}
}

// Services returns the services of the records.
func (r *Records) Services() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]bool)
	for at := range r.origins {
		services[at.Service] = true
	}
	return services
}

// Len returns the number of records, including some that have expired.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byKey)
}
