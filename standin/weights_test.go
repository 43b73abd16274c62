package standin

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/weightstore"
)

// TestWeightsShareTheRate checks that a fetch which exceeds the remaining rate is
// refused until an earlier fetch has ended.
func TestWeightsShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeights(map[string]int64{"dossier-v2": 50_000_000_000})
		ctx := context.Background()
		if _, err := store.Reserve(ctx, "dossier-v2", 6_000_000_000); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Reserve(ctx, "dossier-v2", 6_000_000_000); !errors.Is(err, weightstore.ErrBusy) {
			t.Fatalf("second fetch: got %v, want ErrBusy", err)
		}
		time.Sleep(9 * time.Second)
		if _, err := store.Reserve(ctx, "dossier-v2", 6_000_000_000); err != nil {
			t.Fatalf("fetch after the first has ended: %v", err)
		}
		if got := store.Ledger(); got.Fetches != 2 || got.Refused != 1 {
			t.Fatalf("ledger %+v", got)
		}
		time.Sleep(time.Minute)
	})
}

func TestWeightsOverHTTP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := NewWeights(map[string]int64{"dossier v2": 1000})
	defer Serve(listener, PlatformHandler(NewLog(), NewList(0), store))()
	client := weightstore.NewHTTP(listener.Addr().String())
	ticket, err := client.Reserve(t.Context(), "dossier v2", 500)
	if err != nil || ticket.Bytes != 1000 || ticket.BytesPerSecond != 500 {
		t.Fatalf("ticket %+v, %v", ticket, err)
	}
	if _, err := client.Reserve(t.Context(), "nothing", 500); !errors.Is(err, weightstore.ErrUnknown) {
		t.Fatalf("unknown weights: got %v, want ErrUnknown", err)
	}
	if _, err := client.Reserve(t.Context(), "dossier v2", 2*weightsRate); !errors.Is(err, weightstore.ErrBusy) {
		t.Fatalf("fetch above the total rate: got %v, want ErrBusy", err)
	}
}
