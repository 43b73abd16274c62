package instance_test

import (
	"context"
	"testing"
	"time"
)

func TestSessionPlainDay(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
		s.ask(s.ctx, s.nodes["heredia-1"], prompt(300), 5, nil)
		s.ask(s.ctx, s.nodes["heredia-1"], prompt(90_000), 40, nil)
	})
}

func TestSessionCallerLeaves(t *testing.T) {
	play(t, func(s *session) {
		ctx, leave := context.WithCancel(s.ctx)
		s.farm.Engine(decodeOne).Faults.LoseCancelReplies.Store(2)
		s.farm.Engine(decodeTwo).Faults.LoseCancelReplies.Store(2)
		s.ask(ctx, s.nodes["sabana-1"], prompt(2400), 40, func(position int) {
			if position == 10 {
				leave()
			}
		})
		time.Sleep(500 * time.Millisecond)
		s.ledgers()
	})
}
