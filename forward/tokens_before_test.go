package forward

import (
	"math"
	"strconv"
	"testing"
)

// Guards against a product of the last event's number and the tokens of an event that overflows, so that a stream that is
// taken up counts as having less than no tokens.
func TestTokensBeforeDoNotOverflow(t *testing.T) {
	for _, c := range []struct{ events, eventTokens, most, want int }{
		{events: 12, eventTokens: 9, most: 400, want: 108},
		{events: 50, eventTokens: 9, most: 400, want: 400},
		{events: 44, eventTokens: 9, most: 400, want: 396},
		{events: -3, eventTokens: 9, most: 400, want: 0},
		{events: 400, eventTokens: 1, most: 400, want: 400},
		{events: math.MaxInt, eventTokens: 9, most: 400, want: 400},
		{events: math.MaxInt / 9, eventTokens: 1_000_000_000, most: math.MaxInt, want: math.MaxInt},
	} {
		r := &Request{LastEvent: strconv.Itoa(c.events), Generation: &Generation{MaxTokens: c.most}}
		if got := tokensBefore(r, c.eventTokens); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
