package request

import (
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
)

// Sink takes the tokens of one answer, in order and each once.
type Sink interface {
	// Token hands over one token. An error means that the caller has gone.
	Token(token engine.Token) error
}

// errGap means that a stream skipped a position.
var errGap = errors.New("token stream skipped a position")

// cursor is the one place where tokens pass to the caller. It lets a token
// through only if it belongs to the request and attempt in hand and has the
// next position.
type cursor struct {
	requestID string
	sink      Sink
	next      int
}

// offer passes a token on, or says why it was dropped.
func (c *cursor) offer(attempt int, token engine.Token) (dropped reason.Reason, err error) {
	if token.RequestID != c.requestID || token.Number != attempt {
		return reason.WrongAnswer, nil
	}
	if token.Position < c.next {
		return reason.StaleToken, nil
	}
	if token.Position > c.next {
		return reason.None, errGap
	}
	if err := c.sink.Token(token); err != nil {
		return reason.None, err
	}
	c.next++
	return reason.None, nil
}
