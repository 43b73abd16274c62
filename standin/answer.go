// Package standin holds small fakes of the systems around mastwheel, for tests
// and the local trial: the platform's log, instance list and weight store,
// model engines and plain services. Each keeps a ledger of what really
// happened to it, against which the router's promises are checked.
package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// AnswerToken returns the token at a position of the answer to a prompt. It is
// a function of the whole prompt, so a wrong, mixed, short or repeated answer
// can be found.
func AnswerToken(prompt string, position int) string {
	seed := xxhash.Sum64String(prompt) + uint64(position)*0x9E3779B97F4A7C15
	return " " + strconv.FormatUint(seed>>40, 36)
}

// Answer returns the whole answer of that many tokens.
func Answer(prompt string, tokens int) string {
	var text []byte
	for i := range tokens {
		text = append(text, AnswerToken(prompt, i)...)
	}
	return string(text)
}
