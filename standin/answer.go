// Package standin holds small fakes of the systems around mastwheel, for tests
// and the local trial: the platform's log, instance list and weight store,
// model engines and plain services (without models). Each fake keeps a ledger of
// the operations that took effect. The router's guarantees are checked against
// the ledgers.
package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// AnswerToken returns the token at a position of the answer to a prompt. It
// depends on the complete prompt, so that wrong, mixed, short and repeated
// answers are detected.
func AnswerToken(prompt string, position int) string {
	seed := xxhash.Sum64String(prompt) + uint64(position)*0x9E3779B97F4A7C15
	return " " + strconv.FormatUint(seed>>40, 36)
}

// Answer returns the complete answer to a prompt, with the given number of tokens.
func Answer(prompt string, tokens int) string {
	var text []byte
	for i := range tokens {
		text = append(text, AnswerToken(prompt, i)...)
	}
	return string(text)
}
