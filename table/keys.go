package table

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// KeyDigest stands for the key that a caller shows for its team. Keys are secrets: the
// table, its log and siblings hold digests only, and requests are matched by them, so
// that the time of a comparison tells nothing of a key.
type KeyDigest [keyDigestBytes]byte

const (
	// keyDigestBytes is the part of a SHA-256 that is kept: 128 bits, so that among
	// millions of keys no two share a digest by chance.
	keyDigestBytes = 16
	// shownBytes is the part of a digest that is shown to operators: enough to tell
	// some thousands of keys apart.
	shownBytes = 4
	// KeysNone is the cell of a team that has no keys left: nobody calls for it.
	KeysNone = "none"
)

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// Text returns the whole digest, as it stands in a cell.
func (d KeyDigest) Text() string { return hex.EncodeToString(d[:]) }

// String returns the short form that operators are shown.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// ParseDigest reads what Text has written.
func ParseDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	if hex.DecodedLen(len(text)) != keyDigestBytes {
		return digest, errors.New("a key's digest has 32 hexadecimal digits")
	}
	_, err := hex.Decode(digest[:], []byte(text))
	return digest, errors.Wrap(err, "a key's digest")
}

// FormatKeys writes a team's digests as a cell.
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

// parseKeys reads what FormatKeys has written.
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

func keysText(value string) error {
	_, err := parseKeys(value)
	return err
}

// digestsOf parses a cell that Check has accepted.
func digestsOf(value string) []KeyDigest {
	digests, err := parseKeys(value)
	if err != nil {
		panic("table: compiled before it was checked: " + err.Error())
	}
	return digests
}

// Allotment bounds what a team may ask for, over all instances.
type Allotment struct {
	// Unit is UnitRequests or UnitTokens; empty is UnitRequests.
	Unit string
	// Rate is what the team may use a second, and Burst what it may use at once beside
	// that, both in units. A Rate of 0 means that there is no limit.
	Rate  float64
	Burst float64
	// PlainTokens is what a request counts that names no tokens.
	PlainTokens int
}

// Cost returns what a request counts that names so many tokens, in units.
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
