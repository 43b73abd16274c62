package speed

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Key identifies the estimate of one kind of work of one run of a server.
type Key struct {
	// Server is the route.ServerID of the run.
	Server uint32
	Kind   Kind
}

// Report is an estimate as instances send it to each other.
type Report struct {
	Key
	Estimate
}

const (
	// reportBytes is the size of an encoded report.
	reportBytes = 11
	// minLog is the logarithm of the shortest time that is sent, and logStep is the resolution.
	minLog, logStep = -20.0, 30.0 / math.MaxUint16
	// spreadStep and ageStep are the resolution of spreads, and that of ages and spans.
	spreadStep = 0.01
	ageStep    = 250 * time.Millisecond
	// extensionStep is the resolution of Estimate.Extended, which shares a byte with the kind of
	// work: extensionShift bits for the kind and the others for the extension.
	extensionStep  = (maxValidity - ExpiresAfter) / (1<<(8-extensionShift) - 1)
	extensionShift = 4
	// maxAge is the greatest age that is sent.
	maxAge = math.MaxUint8 * ageStep
)

// Encode encodes reports.
func Encode(reports []Report, now time.Time) []byte {
	data := make([]byte, 0, len(reports)*reportBytes)
	for _, r := range reports {
		data = binary.BigEndian.AppendUint32(data, r.Server)
		// What an age exceeds maxAge by is taken from the extension, so that the estimate is
		// not valid for longer at the receiver.
		extended := max(r.Extended-max(now.Sub(r.Last)-maxAge, 0), 0)
		data = append(data, byte(r.Kind)|byte(min(extended, maxValidity-ExpiresAfter)/extensionStep)<<extensionShift)
		data = binary.BigEndian.AppendUint16(data, r.code())
		data = append(data, toByte(r.Spread/spreadStep), toByte(float64(r.Count)),
			toByte(float64(now.Sub(r.Last))/float64(ageStep)), toByte(float64(r.Last.Sub(r.First))/float64(ageStep)))
	}
	return data
}

// code returns the logarithm of the time for one unit as it is sent.
func (e Estimate) code() uint16 {
	return uint16(min(max((math.Log(e.PerUnit)-minLog)/logStep, 0), math.MaxUint16))
}

func toByte(value float64) byte { return byte(min(max(math.Round(value), 0), math.MaxUint8)) }

// Decode decodes the output of Encode. Reports of kinds that are not known are left out.
func Decode(data []byte, now time.Time) ([]Report, error) {
	if len(data)%reportBytes != 0 {
		return nil, errors.Errorf("decode speeds: %d bytes are no whole number of reports", len(data))
	}
	reports := make([]Report, 0, len(data)/reportBytes)
	for ; len(data) > 0; data = data[reportBytes:] {
		r := Report{Key: Key{Server: binary.BigEndian.Uint32(data), Kind: Kind(data[4] & (1<<extensionShift - 1))}}
		r.Extended = time.Duration(data[4]>>extensionShift) * extensionStep
		if r.Kind == None || r.Kind >= Kinds {
			continue
		}
		r.PerUnit = math.Exp(minLog + logStep*float64(binary.BigEndian.Uint16(data[5:])))
		r.Spread, r.Count = float64(data[7])*spreadStep, int(data[8])
		r.Last = now.Add(-time.Duration(data[9]) * ageStep)
		r.First = r.Last.Add(-time.Duration(data[10]) * ageStep)
		reports = append(reports, r)
	}
	return reports, nil
}

// Table holds estimates that instances reported.
type Table map[Key]Estimate

// Merge replaces the estimates of the reports.
func (t Table) Merge(reports []Report) {
	for _, r := range reports {
		t[r.Key] = r.Estimate
	}
}

// Prune drops estimates that are too old.
func (t Table) Prune(now time.Time) {
	for key, e := range t {
		if !e.fresh(now) {
			delete(t, key)
		}
	}
}

// Parts collects the estimates of several instances.
type Parts map[Key][]Estimate

// Add adds the estimates of one instance.
func (p Parts) Add(table Table) {
	for key, e := range table {
		p[key] = append(p[key], e)
	}
}

// Combine returns the combined estimates.
func (p Parts) Combine(now time.Time) Table {
	sum := make(Table, len(p))
	for key, estimates := range p {
		if all := Combine(now, estimates...); all.Count > 0 {
			sum[key] = all
		}
	}
	return sum
}

// Cause is why an estimate is sent.
type Cause uint8

// Causes, in the order in which they are sent.
const (
	// Changed estimates lead to other decisions than those that were sent before.
	Changed Cause = iota
	// New estimates have not been sent before.
	New
	// Repeated estimates are sent again before they expire at the receivers.
	Repeated
	// Causes is the number of causes.
	Causes
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"changed", "new", "repeated"}[c] }

// Delta selects which estimates of a table a message holds: those that have changed, and others
// in order of use and of the time since they were last sent. Pick must be called every PickEvery.
// The zero value has sent nothing.
type Delta struct {
	sent map[Key]sentEstimate
	// counts holds how many estimates were sent for each cause.
	counts [Causes]atomic.Uint64
	// changed and due are buffers.
	changed, due []dueEstimate
}

// sentEstimate is an estimate with the time when it was last sent. Its count is 0 if it was not
// sent, and the time is then such that it is due since it is in the table.
type sentEstimate struct {
	Estimate
	at time.Time
	// known is whether the estimate told the server's speed then.
	known bool
}

// dueEstimate is an estimate that may be sent. Those of higher urgency are sent first.
type dueEstimate struct {
	Key
	urgency float64
}

const (
	// PickEvery is the pause between two messages with estimates. Each estimate takes 11 bytes.
	PickEvery = time.Second
	// changedBy is the change of a time that is sent at once, as a fraction. It is half of the
	// difference from which speeds count as different.
	changedBy = 0.1
	// sendings is how often an unchanged estimate is sent within its validity: often enough for
	// two repetitions to be lost before it expires at the receiver.
	sendings = 4
	// repeatedAfter is the least time after which an unchanged estimate is sent again.
	repeatedAfter = ExpiresAfter / sendings
	// maxValidity bounds the validity of an estimate that is repeated. A hub sends 128 estimates
	// a second and so needs 78 s for 10,000 servers. Beyond some minutes, a server that has
	// recovered would be avoided for long.
	maxValidity = 5 * time.Minute
)

// Pick returns the reports that are due, up to a limit. Changed estimates come first, with at most
// half of the reports unless there is room for more, so that estimates that change often don't
// keep others from being sent at all. Where there are more estimates than can be sent within
// repeatedAfter, the validity of each one is doubled when it is repeated unchanged with new
// samples, until it suffices to send all of them as often as sendings states.
func (d *Delta) Pick(table Table, atOnce int, now time.Time) []Report {
	if d.sent == nil {
		d.sent = make(map[Key]sentEstimate)
	}
	mostUsed := 1
	for _, e := range table {
		mostUsed = max(mostUsed, e.Count)
	}
	d.changed, d.due = d.changed[:0], d.due[:0]
	for key, e := range table {
		sent, before := d.sent[key]
		if !before {
			sent.at = now.Add(-repeatedAfter)
			d.sent[key] = sent
		}
		// The most used server is repeated twice as often as one that is hardly used.
		use := 1 + float64(e.Count)/float64(mostUsed)
		pause, validity := now.Sub(sent.at), ExpiresAfter+sent.Extended
		one := dueEstimate{Key: key}
		if change := sent.changeTo(e); change > 0 {
			// A small change must not wait forever behind larger ones.
			one.urgency = use * (change + pause.Seconds()/repeatedAfter.Seconds())
			d.changed = append(d.changed, one)
		} else if pause >= validity/sendings {
			one.urgency = use * pause.Seconds() / validity.Seconds()
			if sent.Count > 0 && !e.Last.After(sent.Last) {
				// Without new samples a repetition serves only receivers that missed the last one.
				one.urgency -= math.MaxUint16
			}
			d.due = append(d.due, one)
		}
	}
	if len(d.sent) > len(table) {
		maps.DeleteFunc(d.sent, func(key Key, _ sentEstimate) bool { _, kept := table[key]; return !kept })
	}
	enough := min(max(time.Duration(len(table)/atOnce)*PickEvery*sendings, ExpiresAfter), maxValidity) - ExpiresAfter
	byUrgency := func(a, b dueEstimate) int { return cmp.Compare(b.urgency, a.urgency) }
	slices.SortFunc(d.changed, byUrgency)
	slices.SortFunc(d.due, byUrgency)
	changed := min(len(d.changed), max((atOnce+1)/2, atOnce-len(d.due)))
	reports := make([]Report, 0, min(atOnce, changed+len(d.due)))
	for _, one := range d.changed[:changed] {
		reports = append(reports, d.send(Report{Key: one.Key, Estimate: table[one.Key]}, Changed, now))
	}
	for _, one := range d.due[:min(len(d.due), atOnce-changed)] {
		r, sent, cause := Report{Key: one.Key, Estimate: table[one.Key]}, d.sent[one.Key], Repeated
		switch extended := min(2*(ExpiresAfter+sent.Extended)-ExpiresAfter, enough); {
		case sent.Count == 0:
			cause = New
		case r.Last.After(sent.Last):
			r.Extended = max(r.Extended, extended)
		default:
			r.Extended = max(r.Extended, sent.Extended)
		}
		reports = append(reports, d.send(r, cause, now))
	}
	return reports
}

// send records that an estimate is sent and returns its report.
func (d *Delta) send(r Report, cause Cause, now time.Time) Report {
	d.sent[r.Key] = sentEstimate{Estimate: r.Estimate, at: now, known: r.measured()}
	d.counts[cause].Add(1)
	return r
}

// Sent returns how many estimates were sent for a cause.
func (d *Delta) Sent(cause Cause) uint64 { return d.counts[cause].Load() }

// changeTo returns by how much receivers would decide differently by an estimate than by the one
// that was sent before; 0 if they would not.
func (sent *sentEstimate) changeTo(e Estimate) float64 {
	if sent.Count == 0 {
		return 0
	}
	if sent.known != e.measured() || (sent.Count < minSamples && e.Count >= 2*sent.Count) {
		return 1
	}
	if change := math.Abs(math.Log(e.PerUnit / sent.PerUnit)); change >= changedBy {
		return change
	}
	return 0
}
