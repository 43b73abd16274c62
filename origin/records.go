package origin

import (
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
}

type record struct {
	at    *Origin
	until time.Time
	// server is a hash of the run of the server at which the stream began, and began when it did. Records
	// of siblings have neither.
	server uint64
	began  time.Time
}

// NewRecords returns an empty set for at most the given number of records.
func NewRecords(most int) *Records {
	return &Records{most: most, byKey: make(map[Key]record), origins: make(map[Origin]*Origin)}
}

// Put records where a stream began, until a time. A zero origin means that nobody can know.
func (r *Records) Put(key Key, at Origin, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(key, at, record{until: until}, now)
}

// Merge is like Put, for records that may come in another order than they were made. If two of them differ,
// nobody can know where the stream began.
func (r *Records) Merge(key Key, at Origin, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.byKey[key]; ok && *known.at != at && now.Before(known.until) {
		at = Origin{}
	}
	r.put(key, at, record{until: until}, now)
}

// PutOwn is like Put, for a stream that began now at a run of a server.
func (r *Records) PutOwn(key Key, at Origin, server string, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(key, at, record{until: until, server: xxhash.Sum64String(server), began: now}, now)
}

// put adds a record. A record that nobody can know where a stream began stays until it expires: records of
// the stream that were sent or stored earlier may arrive later. The caller holds the lock.
func (r *Records) put(key Key, at Origin, next record, now time.Time) {
	if known, ok := r.byKey[key]; ok {
		if *known.at == (Origin{}) && now.Before(known.until) {
			at = Origin{}
		}
		if next.until.Before(known.until) {
			next.until = known.until
		}
	} else {
		r.dropOld(now)
		r.order = append(r.order, key)
	}
	next.at = r.shared(at)
	r.byKey[key] = next
}

// shared returns the copy of an origin that all records use. The caller holds the lock.
func (r *Records) shared(at Origin) *Origin {
	if r.origins[at] == nil {
		r.origins[at] = &at
	}
	return r.origins[at]
}

// Doubt records that nobody can know where the streams began that began at a run of a server since a
// time. It calls visit for each of them.
func (r *Records) Doubt(server string, since, now time.Time, visit func(key Key, until time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := xxhash.Sum64String(server)
	for key, known := range r.byKey {
		if known.server == hash && known.began.After(since) && now.Before(known.until) {
			known.at = r.shared(Origin{})
			r.byKey[key] = known
			visit(key, known.until)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byKey[key]
	if !ok || !now.Before(known.until) {
		return Origin{}, false
	}
	return *known.at, true
}

// Each calls visit for each record of a service that has not expired.
func (r *Records) Each(service string, now time.Time, visit func(key Key, at Origin, until time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, known := range r.byKey {
		if known.at.Service == service && now.Before(known.until) {
			visit(key, *known.at, known.until)
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
