package edge

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
)

func TestMessagesOfOriginsDoNotWipeLoads(t *testing.T) {
	withReleases(t, 2, func(f *fleet) {
		asked, asks := f.instances[0], f.instances[1]
		sent := asks.message(time.Now())
		sent.NoLoads, sent.Loads = false, []heartbeat.Load{{Server: 7, Memory: 100}}
		asked.handleMessage(sent)
		asks.Origins.ask(context.Background(), 1, "a")
		if got := asked.peers.sum(asked.members.View().Serving())[7].Memory; got != 100 {
			t.Errorf("%d of 100 tokens that a sibling has committed are known after its question", got)
		}
	})
}
