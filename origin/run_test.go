package origin

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func TestRunsOfOneServerAreToldApart(t *testing.T) {
	first, second, unborn, other := RunOf("a@b@1"), RunOf("a@b@2"), RunOf("c"), RunOf("a@c@1")
	if !first.IsOtherRunOf(second) || first.IsOtherRunOf(RunOf("a@b@1")) || first.IsOtherRunOf(other) || !unborn.IsOtherRunOf(RunOf("c@1")) {
		t.Errorf("%x, %x, %x, %x", first, second, unborn, other)
	}
}

// doubted returns the streams that are doubted when a run of a server is.
func doubted(r *Records, run string, since, now time.Time) (keys []Key) {
	r.Doubt(map[Run]bool{RunOf(run): true}, since, now, func(doubt Record) { keys = append(keys, doubt.Key) })
	return keys
}

// A stream that is taken up goes on at another server, which says nothing of where it began.
func TestTakenUpStreamKeepsTheRunWhereItBegan(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	records.PutOwn(1, old, "s@1", now.Add(20*time.Second), now)
	records.PutOwn(1, old, "o@1", now.Add(20*time.Second), now.Add(time.Second))
	records.Put(1, old, now.Add(20*time.Second), now.Add(time.Second))
	later := now.Add(2 * time.Second)
	if keys := doubted(records, "o@1", now, later); len(keys) > 0 {
		t.Errorf("%v are doubted with the server that goes on with them", keys)
	}
	before := now.Add(-time.Second)
	if first, again := doubted(records, "s@1", before, later), doubted(records, "s@1", before, later); len(first) != 1 || len(again) > 0 {
		t.Errorf("%v are doubted, and then %v, expected the stream once", first, again)
	}
}

// A caller may use the ID of a request again for a new stream, which may begin at another release.
func TestNewStreamWithAnIDThatWasUsedHasItsOwnRun(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	again := now.Add(3 * time.Second)
	records.PutOwn(1, old, "s@1", now.Add(20*time.Second), now)
	records.PutOwn(1, Origin{Service: old.Service, Release: "v9"}, "o@1", now.Add(20*time.Second), again)
	later := now.Add(4 * time.Second)
	if keys := doubted(records, "s@1", now.Add(-time.Second), later); len(keys) > 0 {
		t.Errorf("%v are doubted with the server of the former stream", keys)
	}
	if keys := doubted(records, "o@1", now, later); len(keys) != 1 {
		t.Errorf("%v are doubted with the server of the new stream", keys)
	}
}

func TestRecordThatArrivesAfterADoubtOfItsRunIsDoubted(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	doubted(records, "s@1", now.Add(-5*time.Second), now)
	put := func(key Key, run string, began time.Time) bool {
		at := records.PutRecord(Record{Key: key, At: old, Until: now.Add(time.Minute), Run: RunOf(run), Began: began}, now)
		return at == Origin{}
	}
	if put(1, "s@1", now.Add(-6*time.Second)) || !put(2, "s@1", now.Add(-4*time.Second)) || !put(3, "s@1", now.Add(time.Second)) || put(4, "s@2", now) {
		t.Error("expected the streams of the doubted run since the time to be doubted, and no others")
	}
	later := now.Add(doubtedFor + time.Second)
	for i := range 2 * doubtedRuns {
		doubted(records, fmt.Sprint("x@", i), now, now)
	}
	if len(records.doubted) > doubtedRuns {
		t.Errorf("%d runs are doubted", len(records.doubted))
	}
	if doubted(records, "y@1", later, later); len(records.doubted) != 1 {
		t.Errorf("%d runs are doubted long after the servers were back", len(records.doubted))
	}
}

// The list may show a later run and then the former one again, whose streams are then as certain as before.
func TestRunsAreNotDoubtedForGood(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	put := func(key Key, run string, began, now time.Time) bool {
		at := records.PutRecord(Record{Key: key, At: old, Until: now.Add(time.Minute), Run: RunOf(run), Began: began}, now)
		return at == Origin{}
	}
	doubted(records, "s@1", now, now)
	doubted(records, "s@2", now, now)
	relisted := now.Add(time.Second)
	records.Relisted(map[Run]bool{RunOf("s@2"): true}, relisted)
	records.Relisted(map[Run]bool{RunOf("s@2"): true}, relisted.Add(time.Minute))
	later := now.Add(2 * time.Second)
	if !put(1, "s@1", later, later) || !put(2, "s@2", relisted, later) || put(3, "s@2", later, later) {
		t.Error("expected the streams of the run that is listed again to be doubted that began before, and no later ones")
	}
	if forgotten := now.Add(doubtedFor + time.Second); put(4, "s@1", forgotten, forgotten) {
		t.Error("a run is doubted for longer than intended, because no other one was since")
	}
}

// Instances of an older build know neither runs nor the time of a batch, and send none.
func TestRunsAreOptionalInMessages(t *testing.T) {
	now := time.Now()
	sent := Message{Origins: []Origin{old}, Began: []Began{{Key: 1, LeftMillis: 1000}}, BeganRuns: []BeganRun{{Run: 1 << 63, AgeMillis: 5}}, SentMillis: now.UnixMilli()}
	var older struct {
		Origins []Origin `cbor:"1,keyasint,omitempty"`
		Began   []Began  `cbor:"2,keyasint,omitempty"`
	}
	data, err := cbor.Marshal(sent)
	if err == nil {
		err = cbor.Unmarshal(data, &older)
	}
	if err != nil || len(older.Began) != 1 || older.Began[0] != sent.Began[0] {
		t.Fatalf("%+v, %v", older, err)
	}
	data, err = cbor.Marshal(older)
	var got Message
	if err == nil {
		err = cbor.Unmarshal(data, &got)
	}
	if err != nil || got.CheckBatch() != nil || !got.SentAt().IsZero() {
		t.Fatalf("%+v, %v", got, err)
	}
	for _, test := range []struct {
		runs     []BeganRun
		expected Run
	}{{sent.BeganRuns, 1 << 63}, {got.BeganRuns, 0}, {[]BeganRun{{Run: 1, AgeMillis: -1}}, 0}, {[]BeganRun{{}, {Run: 1}}, 0}} {
		records := 0
		got.EachRecord(got.Began, test.runs, now, now, func(one Record) {
			records++
			if one.Run != test.expected || one.At != old {
				t.Errorf("%+v of the runs %v", one, test.runs)
			}
		})
		if records != 1 {
			t.Errorf("%d records", records)
		}
	}
}

func TestBatchWithRunsThatNoInstanceWritesIsRefused(t *testing.T) {
	for name, change := range map[string]func(m *Message){
		"more runs than streams": func(m *Message) { m.BeganRuns = make([]BeganRun, 2) },
		"began later":            func(m *Message) { m.BeganRuns = []BeganRun{{AgeMillis: -1}} },
		"written before 1970":    func(m *Message) { m.SentMillis = -1 },
		"written never":          func(m *Message) { m.SentMillis = 1 << 62 },
	} {
		batch := &Message{Origins: []Origin{old}, Began: []Began{{Key: 1, LeftMillis: 1}}, BeganRuns: []BeganRun{{Run: 1}}, SentMillis: 1}
		if err := batch.CheckBatch(); err != nil {
			t.Fatal(err)
		}
		if change(batch); batch.CheckBatch() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestRecordOfALongDeadlineIsAsSmallAsAnyOther guards against batches that exceed the size of a stored record.
func TestRecordOfALongDeadlineIsAsSmallAsAnyOther(t *testing.T) {
	now := time.Unix(1000, 0)
	long := Record{Key: 1, At: old, Until: now.Add(1 << 62)}
	if began, _ := long.Message(0, time.Minute, now); began.LeftMillis > math.MaxUint32 {
		t.Errorf("%d ms are left", began.LeftMillis)
	}
}
