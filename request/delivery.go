package request

import (
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
)

// Sink receives the tokens of one answer in order, each exactly once.
type Sink interface {
	// Token delivers one token. An error means that the caller has
	// disconnected.
	Token(token engine.Token) error
}

// errGap means that a token stream skipped a position.
var errGap = errors.New("token stream skipped a position")

// cursor is the only path by which tokens reach the caller. It delivers a token
// only if the token belongs to the current request and attempt and has the next
// position.
type cursor struct {
	requestID string
	sink      Sink
	next      int
}

// offer delivers a token, or returns the reason why the token was dropped.
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
