package origin

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/registry"
)

// Message is what instances send each other about where streams began.
type Message struct {
	// Origins holds the origins to which the other fields refer by index.
	Origins []Origin `cbor:"1,keyasint,omitempty"`
	// Began holds streams whose records the receiver keeps.
	Began []Began `cbor:"2,keyasint,omitempty"`
	// Questions asks where streams began, and Answers answers.
	Questions []Question `cbor:"3,keyasint,omitempty"`
	Answers   []Answer   `cbor:"4,keyasint,omitempty"`
	// History holds the releases that matter and their announcements.
	History *History `cbor:"5,keyasint,omitempty"`
	// ToStore holds streams whose records the receiver appends to the platform's store.
	ToStore []Began `cbor:"6,keyasint,omitempty"`
	// BeganRuns holds the runs of the servers of the first streams of Began, and ToStoreRuns those of ToStore.
	// Messages of older instances have none.
	BeganRuns   []BeganRun `cbor:"7,keyasint,omitempty"`
	ToStoreRuns []BeganRun `cbor:"8,keyasint,omitempty"`
	// SentMillis is when a batch was written, in milliseconds since 1970 by its writer's clock.
	SentMillis int64 `cbor:"9,keyasint,omitempty"`
}

// Began is the record of one stream.
type Began struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// At is an index of Message.Origins.
	At int
	// LeftMillis is how long its caller may take the stream up.
	LeftMillis int64
}

// Question asks where a stream of a service began.
type Question struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Service string
}

// Answer answers a Question.
type Answer struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// At is an index of Message.Origins, or Unknown.
	At int
}

// Unknown is the index of an answer that names no origin.
const Unknown = -1

// History holds the releases that matter, as the sender knows them.
type History struct {
	// CompleteMillis is for how long the history has been complete.
	CompleteMillis int64 `cbor:"1,keyasint"`
	// ListAgeMillis is the time since the sender's list of servers was last known to be current.
	ListAgeMillis int64 `cbor:"2,keyasint"`
	// Listed holds the time since a server of a release was last listed.
	Listed []Listed `cbor:"3,keyasint,omitempty"`
	// Stored and Open hold the releases that the store has, and those at which streams may begin, as
	// indexes of Message.Origins. All open releases are stored.
	Stored []int `cbor:"4,keyasint,omitempty"`
	Open   []int `cbor:"5,keyasint,omitempty"`
}

// Listed is the time since a server of a release was last listed, or 0 if one is listed now.
type Listed struct {
	_ struct{} `cbor:",toarray"`
	// At is an index of Message.Origins.
	At        int
	AgeMillis int64
}

// Index returns the index of an origin in the message, and adds it if it is missing.
func (m *Message) Index(at Origin) int {
	if i := slices.Index(m.Origins, at); i >= 0 {
		return i
	}
	m.Origins = append(m.Origins, at)
	return len(m.Origins) - 1
}

// Origin returns the origin of an index. It returns false for Unknown, for an index that the message does not
// have, and for an origin that no instance sends.
func (m *Message) Origin(index int) (Origin, bool) {
	if index < 0 || index >= len(m.Origins) || m.Origins[index].isLong() {
		return Origin{}, false
	}
	return m.Origins[index], true
}

// isLong reports whether an origin has a name that no server of the list has. Thousands of origins are kept.
func (o Origin) isLong() bool { return max(len(o.Service), len(o.Release)) > registry.MaxNameBytes }

// MaxReleases bounds the releases in one history, so that it fits into a datagram. A longer history is not
// sent.
const MaxReleases = 256

// HistoryMessage returns a message with the releases that matter and their announcements. It returns nil if the history
// is not complete for any time or is too long. listAge is the age of the sender's list of servers.
func (r *Releases) HistoryMessage(listAge time.Duration, now time.Time) *Message {
	since, complete := r.Since()
	retained := r.Retained(now)
	if !complete || len(retained) > MaxReleases {
		return nil
	}
	known := r.history.Load()
	for at := range retained {
		if !known.lacksNothing(at.Service, since) {
			// A message has one time for all services.
			since = known.gapAt
		}
	}
	message := &Message{History: &History{CompleteMillis: now.Sub(since).Milliseconds(), ListAgeMillis: listAge.Milliseconds()}}
	for at, last := range retained {
		index := message.Index(at)
		message.History.Listed = append(message.History.Listed, Listed{At: index, AgeMillis: max(now.Sub(last), 0).Milliseconds()})
		if r.IsStored(at) {
			message.History.Stored = append(message.History.Stored, index)
		}
	}
	for _, at := range r.Open(now) {
		message.History.Open = append(message.History.Open, message.Index(at))
	}
	return message
}

// Announced returns the releases that the store has according to the sender of a history, and those at which
// streams may begin. Indexes that no instance sends are left out.
func (m *Message) Announced() (stored Announced, open []Origin) {
	stored = make(Announced)
	for _, index := range m.History.Stored {
		if at, known := m.Origin(index); known {
			stored[at] = false
		}
	}
	for _, index := range m.History.Open {
		if at, known := m.Origin(index); known {
			open = append(open, at)
		}
	}
	return stored, open
}

// ListAge returns the age of the list of servers that a history was made from.
func (m *Message) ListAge() time.Duration { return millis(m.History.ListAgeMillis) }

// Times returns since when a history is complete, and when a server of each release was last listed. It
// returns false for a history with values that no instance sends.
func (m *Message) Times(now time.Time) (since time.Time, lastListed map[Origin]time.Time, ok bool) {
	h := m.History
	if h == nil || h.CompleteMillis < 0 || h.ListAgeMillis < 0 {
		return time.Time{}, nil, false
	}
	lastListed = make(map[Origin]time.Time, len(h.Listed))
	for _, one := range h.Listed {
		at, known := m.Origin(one.At)
		if !known || one.AgeMillis < 0 {
			return time.Time{}, nil, false
		}
		lastListed[at] = now.Add(-millis(one.AgeMillis))
	}
	return now.Add(-millis(h.CompleteMillis)), lastListed, true
}

// maxMillis bounds durations in messages, so that they do not overflow.
const maxMillis = int64(24 * time.Hour / time.Millisecond)

func millis(n int64) time.Duration { return time.Duration(min(n, maxMillis)) * time.Millisecond }

// Until returns until when the caller of a stream may take it up. It returns false for a value that no
// instance sends.
func (b *Began) Until(now time.Time) (until time.Time, ok bool) {
	return now.Add(millis(b.LeftMillis)), b.LeftMillis > 0
}
