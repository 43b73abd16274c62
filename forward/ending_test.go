package forward

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
)

// countedEndings returns how many requests were counted as ended without a whole answer.
func (b *bench) countedEndings() (counted float64) {
	families, err := b.Metrics.Registry.Gather()
	if err != nil {
		b.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "mastwheel_requests_without_whole_answer_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted += metric.GetCounter().GetValue()
		}
	}
	return counted
}

// Guards against a request without an answer that is not counted, because no server was left for another try.
func TestLostAnswerIsCountedIfNoServerIsLeft(t *testing.T) {
	refused := &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
	t.Run("call", func(t *testing.T) {
		withBench(t, func(b *bench) {
			b.engines.call = func(string) (*Answer, error) {
				if b.callCount("call") == 1 {
					return nil, errCrashed
				}
				return nil, refused
			}
			if reply := b.serve(b.plain("a")); reply.Status != statusBadGateway || b.countedEndings() != 1 {
				t.Errorf("status %d, counted %v", reply.Status, b.countedEndings())
			}
		})
	})
	t.Run("stream", func(t *testing.T) {
		withBench(t, func(b *bench) {
			b.engines.decode = func(string, DecodeRequest) error {
				if b.callCount("decode") == 1 {
					return errors.New("connection reset")
				}
				return refused
			}
			if reply := b.serve(b.resumable("a")); reply.Status != statusBadGateway || b.countedEndings() != 1 {
				t.Errorf("status %d, counted %v", reply.Status, b.countedEndings())
			}
		})
	})
}
