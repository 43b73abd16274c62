// Package operation keeps the truth about whether a call ran, without
// consensus. An operation id names a home, which alone may send the call to a
// backend server, and a witness in another availability zone, which must have
// acknowledged the home's intent first. A caller that has lost its home asks
// the witness: with no intent seen, the witness closes the id for ever and
// "not run" is true from then on.
package operation

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Incarnation tells one run of an instance from the next. It is the start
// time in milliseconds since the epoch.
type Incarnation uint64

// Member names one run of an instance.
type Member struct {
	Name        string
	Incarnation Incarnation
}

// String returns "name.incarnation", the incarnation in base 36.
func (m Member) String() string {
	return m.Name + "." + strconv.FormatUint(uint64(m.Incarnation), base36)
}

// ParseMember reads what String wrote.
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
	// HomeExpiry and WitnessExpiry are uptimes, each on its own member's
	// monotonic clock, after which that member refuses the id. With a clock of
	// its own, neither depends on how fast another's runs.
	HomeExpiry    time.Duration
	WitnessExpiry time.Duration
	// Nonce is the caller's part.
	Nonce string
}

const (
	base36 = 36
	// idFields is the number of fields of an id in text.
	idFields = 8
	// idVersion is the first field; another layout gets another version.
	idVersion = "m1"
	// maxNonce bounds the caller's part, in bytes.
	maxNonce = 64
	// MaxIDLength bounds a whole id, in bytes.
	MaxIDLength = 256
	fieldMark   = "~"
)

// Prefix returns everything of the id but the caller's nonce.
func (id ID) Prefix() string {
	fields := []string{
		idVersion,
		id.Home.Name, format(uint64(id.Home.Incarnation)),
		id.Witness.Name, format(uint64(id.Witness.Incarnation)),
		format(uint64(id.HomeExpiry.Milliseconds())),
		format(uint64(id.WitnessExpiry.Milliseconds())),
	}
	return strings.Join(fields, fieldMark) + fieldMark
}

// String returns the id as text.
func (id ID) String() string { return id.Prefix() + id.Nonce }

// ErrMalformed means that a text is not an operation id of this system.
var ErrMalformed = errors.New("not an operation id; take its prefix from GET /v1/entry and add a nonce of your own")

// ParseID reads an id as text.
func ParseID(text string) (ID, error) {
	if len(text) > MaxIDLength {
		return ID{}, ErrMalformed
	}
	fields := strings.Split(text, fieldMark)
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
	// One operation must have one spelling, or a second one would pass for
	// another operation.
	if !validNonce(id.Nonce) || id.Home.Name == "" || id.String() != text {
		return ID{}, ErrMalformed
	}
	return id, nil
}

func format(n uint64) string { return strconv.FormatUint(n, base36) }

// millis converts to a duration; numbers too large for one become the
// largest, which no uptime reaches and no second spelling shares.
func millis(n uint64) time.Duration {
	const most = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(n, most)) * time.Millisecond
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
