package origin

import (
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The size to design for (docs/CAPACITY.md): requests a second of an instance, and its memory in bytes.
const (
	fullRequestsPerSecond = 56
	fullMemory            = 256 << 20
	mostRecords           = 16_384
)

func TestRecordsAreSmallAtTheSizeToDesignFor(t *testing.T) {
	began := &Message{Origins: []Origin{{Service: "dining-room-assistant", Release: "v1.2.3"}}, Began: []Began{{Key: 1 << 63, LeftMillis: 19_000}}, BeganRuns: []BeganRun{{Run: 1 << 63}}}
	one, err := cbor.Marshal(began)
	if err != nil {
		t.Fatal(err)
	}
	began.Began, began.BeganRuns = append(began.Began, Began{Key: 1 << 63, LeftMillis: 19_000}), append(began.BeganRuns, BeganRun{Run: 1 << 63})
	two, err := cbor.Marshal(began)
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	now := time.Now()
	runtime.GC()
	runtime.ReadMemStats(&before)
	records := NewRecords(mostRecords)
	for i := range 4 * mostRecords {
		records.PutOwn(KeyOf(time.Duration(i).String()), old, "server@1", now.Add(time.Minute), now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := after.HeapAlloc - before.HeapAlloc
	t.Logf("one record %d B in a message, the next %d B; %d records hold %d B", len(one), len(two)-len(one), records.Len(), held)
	if held > fullMemory/50 {
		t.Errorf("%d records hold %d B", records.Len(), held)
	}
	if kept := 3 * fullRequestsPerSecond * 60; kept > mostRecords {
		t.Errorf("%d records of a minute, at most %d are kept", kept, mostRecords)
	}
}
