package origin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Keepers returns the indexes of the given number of names, or of all if there are fewer, that keep the
// record of a stream: those with the highest weights by rendezvous hashing, the highest first. If a name
// is added or removed, the others keep their order.
func Keepers(key Key, names []string, most int) []int {
	keepers, weights := make([]int, 0, most+1), make([]uint64, 0, most+1)
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(key))
	hash := xxhash.New()
	for i, name := range names {
		hash.Reset()
		// Writes to a hash never fail.
		_, _ = hash.Write(seed[:])
		_, _ = hash.WriteString(name)
		weight := hash.Sum64()
		if len(keepers) == most && weight <= weights[most-1] {
			continue
		}
		keepers, weights = append(keepers, i), append(weights, weight)
		for at := len(keepers) - 1; at > 0 && weights[at] > weights[at-1]; at-- {
			keepers[at], keepers[at-1] = keepers[at-1], keepers[at]
			weights[at], weights[at-1] = weights[at-1], weights[at]
		}
		keepers, weights = keepers[:min(len(keepers), most)], weights[:min(len(weights), most)]
	}
	return keepers
}
