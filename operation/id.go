// Package operation tracks whether a call ran, without consensus.
//
// An operation id names two instances. Only the home, which the caller is connected
// to, may send the call to a backend server. The witness, in another availability
// zone, must first have acknowledged the home's intent to send it. A caller that
// can no longer reach the home queries the witness. If the witness has seen no
// intent, it closes the id permanently, so that its answer "not run" stays true.
package operation

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Incarnation identifies one run of an instance. It is the start time of the run
// in milliseconds since the Unix epoch.
type Incarnation uint64

// Member identifies an instance and one run of it.
type Member struct {
	Name        string
	Incarnation Incarnation
}

// String returns "name.incarnation" with the incarnation in base 36.
func (m Member) String() string {
	return m.Name + "." + strconv.FormatUint(uint64(m.Incarnation), base36)
}

// ParseMember parses the output of Member.String.
func ParseMember(text string) (Member, bool) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Member{}, false
	}
	incarnation, err := strconv.ParseUint(text[dot+1:], base36, 64)
	if err != nil {
		return Member{}, false
	}
	return Member{Name: text[:dot], Incarnation: Incarnation(incarnation)}, true
}

// ID is a parsed operation id.
type ID struct {
	Home    Member
	Witness Member
	// HomeExpiry and WitnessExpiry are the uptimes of the home and of the witness
	// after which each rejects the id. Each member uses its own monotonic clock, so
	// differences in clock rate between members do not matter.
	HomeExpiry    time.Duration
	WitnessExpiry time.Duration
	// Nonce is the part of the id that the caller chooses.
	Nonce string
}

const (
	base36 = 36
	// idFields is the number of fields in the text form of an id.
	idFields = 8
	// idVersion is the first field. It changes with the layout.
	idVersion = "m1"
	// maxNonce is the maximum length of a nonce in bytes.
	maxNonce = 64
	// MaxIDLength is the maximum length of an id in bytes.
	MaxIDLength    = 256
	fieldSeparator = "~"
)

// Prefix returns the text of the id without the nonce.
func (id ID) Prefix() string {
	fields := []string{
		idVersion,
		id.Home.Name, formatUint(uint64(id.Home.Incarnation)),
		id.Witness.Name, formatUint(uint64(id.Witness.Incarnation)),
		formatUint(uint64(id.HomeExpiry.Milliseconds())),
		formatUint(uint64(id.WitnessExpiry.Milliseconds())),
	}
	return strings.Join(fields, fieldSeparator) + fieldSeparator
}

// String returns the text form of the id.
func (id ID) String() string { return id.Prefix() + id.Nonce }

// ErrMalformed is returned for a text that is not an operation id.
var ErrMalformed = errors.New("not an operation id; take its prefix from GET /v1/entry and add a nonce of your own")

// ParseID parses the text form of an id.
func ParseID(text string) (ID, error) {
	if len(text) > MaxIDLength {
		return ID{}, ErrMalformed
	}
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != idFields || fields[0] != idVersion {
		return ID{}, ErrMalformed
	}
	var numbers [4]uint64
	for i, field := range []string{fields[2], fields[4], fields[5], fields[6]} {
		n, err := strconv.ParseUint(field, base36, 63)
		if err != nil {
			return ID{}, ErrMalformed
		}
		numbers[i] = n
	}
	id := ID{
		Home:          Member{Name: fields[1], Incarnation: Incarnation(numbers[0])},
		Witness:       Member{Name: fields[3], Incarnation: Incarnation(numbers[1])},
		HomeExpiry:    millis(numbers[2]),
		WitnessExpiry: millis(numbers[3]),
		Nonce:         fields[7],
	}
	// An id must have exactly one text form. Otherwise another form of it would be
	// treated as another operation.
	if !validNonce(id.Nonce) || id.Home.Name == "" || id.String() != text {
		return ID{}, ErrMalformed
	}
	return id, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, base36) }

// millis converts milliseconds to a duration. Values out of range become the
// largest duration, which no uptime reaches. Its text form differs from theirs, so
// ParseID rejects them.
func millis(n uint64) time.Duration {
	const maxMillis = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(n, maxMillis)) * time.Millisecond
}

func validNonce(nonce string) bool {
	if nonce == "" || len(nonce) > maxNonce {
		return false
	}
	for _, r := range nonce {
		isDigit := r >= '0' && r <= '9'
		isLower := r >= 'a' && r <= 'z'
		isUpper := r >= 'A' && r <= 'Z'
		if !isDigit && !isLower && !isUpper && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
