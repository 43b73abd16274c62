package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keepers returns the given number of names, or all if there are fewer, that keep the record of a
// stream: those with the highest weights by rendezvous hashing, the highest first. If a name is added or
// removed, the others keep their order.
func Keepers(key Key, names []string, most int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	all := make([]weighted, 0, len(names))
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(key))
	hash := xxhash.New()
	for _, name := range names {
		hash.Reset()
		// Writes to a hash never fail.
		_, _ = hash.Write(seed[:])
		_, _ = hash.WriteString(name)
		all = append(all, weighted{name, hash.Sum64()})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	keepers := make([]string, 0, most)
	for _, one := range all[:min(most, len(all))] {
		keepers = append(keepers, one.name)
	}
	return keepers
}
