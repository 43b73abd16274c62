package origin

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/registry"
)

// Run identifies a run of a server's process, by a hash of the server's ID in the upper half and one of the name of the
// run in the lower half. Two runs that have the same by chance are doubted together. It is 0 if the run is not known.
type Run uint64

const halfOfRun = 32

// RunOf returns the run with a name (registry.Entry.Run).
func RunOf(name string) Run {
	id := name
	if at := strings.LastIndex(name, registry.RunSeparator); at >= 0 {
		id = name[:at]
	}
	return Run(xxhash.Sum64String(id)>>halfOfRun<<halfOfRun | xxhash.Sum64String(name)>>halfOfRun)
}

// IsOtherRunOf reports whether both are runs of one server, but not the same.
func (r Run) IsOtherRunOf(other Run) bool { return r != other && r>>halfOfRun == other>>halfOfRun }

// BeganRun is the run of the server at which a stream began. Its elements are 0 if it is not known, or the stream began
// so long ago that it does not matter.
type BeganRun struct {
	_   struct{} `cbor:",toarray"`
	Run Run
	// AgeMillis is the time since the stream began.
	AgeMillis int64
}

// Record is where a stream began, until a time. Run is the run of the server, 0 if unknown, and Began when it was.
type Record struct {
	Key   Key
	At    Origin
	Until time.Time
	Run   Run
	Began time.Time
}

// IsDoubt reports whether nobody can know where the stream began.
func (r *Record) IsDoubt() bool { return r.At == Origin{} }

// maxLeft is the longest time for which a message has a record kept. Callers may state any deadline; the numbers of a full
// batch would not fit into a stored record then.
const maxLeft = 24 * time.Hour

// Message returns the record's entries for a message that is sent now. The run is left out if the stream began longer
// ago than a time.
func (r *Record) Message(at int, runMattersFor time.Duration, now time.Time) (Began, BeganRun) {
	began := Began{Key: r.Key, At: at, LeftMillis: min(r.Until.Sub(now), maxLeft).Milliseconds()}
	age := now.Sub(r.Began)
	if r.Run == 0 || r.IsDoubt() || age > runMattersFor {
		return began, BeganRun{}
	}
	return began, BeganRun{Run: r.Run, AgeMillis: max(age.Milliseconds(), 0)}
}
