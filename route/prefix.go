package route

import "github.com/cespare/xxhash/v2"

// prefixBlockBytes is the length of a prompt block. Each hash covers one block more
// than the hash before it. Engines use the same blocks.
const prefixBlockBytes = PrefixBlockTokens * 4

// maxPrefixes limits the number of hashes of one prompt.
const maxPrefixes = 64

// PrefixHashes returns hashes of the prompt's prefixes of one block, two
// blocks and so on. Equal hashes mean equal prefixes.
func PrefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixes)
	hashes := make([]uint64, 0, blocks)
	var digest xxhash.Digest
	digest.Reset()
	for i := range blocks {
		digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
