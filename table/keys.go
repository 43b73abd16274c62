package table

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// KeyDigest is a truncated SHA-256 of an API key that callers send to authenticate for a
// team. Keys are secrets, so the table, its log and siblings hold only key digests.
// Requests are matched by digest, so that the timing of a comparison leaks nothing about
// a key.
type KeyDigest [keyDigestBytes]byte

const (
	// keyDigestBytes is the length of a digest. 128 bits of the SHA-256 rule out chance
	// collisions among millions of keys.
	keyDigestBytes = 16
	// shortDigestBytes is the length of the digest prefix shown to operators. It
	// distinguishes some thousands of keys.
	shortDigestBytes = 4
	// KeysNone is the cell value of a team without any valid key. All requests for the
	// team are rejected.
	KeysNone = "none"
)

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// Text returns the full digest in hexadecimal, as stored in a cell.
func (d KeyDigest) Text() string { return hex.EncodeToString(d[:]) }

// String returns the short form that is shown to operators.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// ParseDigest parses the output of KeyDigest.Text.
func ParseDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	if hex.DecodedLen(len(text)) != keyDigestBytes {
		return digest, errors.New("a key's digest has 32 hexadecimal digits")
	}
	_, err := hex.Decode(digest[:], []byte(text))
	return digest, errors.Wrap(err, "a key's digest")
}

// FormatKeys formats a team's key digests as a cell value.
func FormatKeys(digests []KeyDigest) string {
	if len(digests) == 0 {
		return KeysNone
	}
	texts := make([]string, 0, len(digests))
	for _, digest := range digests {
		texts = append(texts, digest.Text())
	}
	return strings.Join(texts, ",")
}

// parseKeys parses the output of FormatKeys.
func parseKeys(value string) ([]KeyDigest, error) {
	if value == "" || value == KeysNone {
		return nil, nil
	}
	var digests []KeyDigest
	for _, text := range strings.Split(value, ",") {
		digest, err := ParseDigest(text)
		if err != nil {
			return nil, err
		}
		digests = append(digests, digest)
	}
	return digests, nil
}

func checkKeys(value string) error {
	_, err := parseKeys(value)
	return err
}

// mustParseKeys parses a cell that Check has accepted. It panics on other values.
func mustParseKeys(value string) []KeyDigest {
	digests, err := parseKeys(value)
	if err != nil {
		panic("table: Compile called on an unchecked table: " + err.Error())
	}
	return digests
}

// Allotment is the rate limit of a team over all instances.
type Allotment struct {
	// Unit is UnitRequests or UnitTokens. Empty means UnitRequests.
	Unit string
	// Rate is the number of units that the team may use per second. Burst is the number of
	// units that it may use in one burst on top of that. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// PlainTokens is the cost in tokens of a request that states no token count.
	PlainTokens int
}

// Cost returns the cost of a request in units. named is set if the request states a token
// count, which is then tokens.
func (a Allotment) Cost(tokens int, named bool) int {
	switch {
	case a.Unit != UnitTokens:
		return 1
	case named:
		return tokens
	default:
		return a.PlainTokens
	}
}
