package membudget

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against large bodies that leave no room for small requests.
func TestLargeBodiesLeaveRoomForRequests(t *testing.T) {
	b := New(1000)
	for b.Reserve(Large, 10) {
	}
	if !b.Reserve(Request, 80) || b.Refused(Large) != 1 {
		t.Errorf("large bodies took all; %d were refused", b.Refused(Large))
	}
}

// Guards against an account that is exceeded where many peers take bytes at once, or that loses bytes.
func TestLimitHoldsUnderConcurrentUse(t *testing.T) {
	b := New(1 << 20)
	var peers sync.WaitGroup
	for range 16 {
		peers.Go(func() {
			for i := range int64(2000) {
				if n := 100 + i%5000; b.Reserve(Request, n) {
					b.Release(n)
				}
			}
		})
	}
	peers.Wait()
	if now, peak := b.Used(); now != 0 || peak > b.Limit() {
		t.Errorf("%d bytes are held, %d were of %d", now, peak, b.Limit())
	}
}

// Guards against an answer that waits for bytes for ever although they were released.
func TestAwaitGetsBytesThatAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		b.Reserve(Answer, b.Limit())
		got := make(chan error, 2)
		for range 2 {
			go func() { got <- b.Await(t.Context(), Answer, b.Limit()/2) }()
		}
		synctest.Wait()
		b.Release(b.Limit())
		if first, second := <-got, <-got; first != nil || second != nil {
			t.Error(first, second)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Await(ctx, Answer, 1+b.Limit()/2); err == nil {
			t.Error("more than the limit was taken")
		}
	})
}

// Guards against an answer that waits while later, smaller ones are read before it.
func TestAnswersAreReadInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		b.Reserve(Answer, b.Limit())
		var order []int64
		var mu sync.Mutex
		var waiting sync.WaitGroup
		for _, bytes := range []int64{300, 10, 20} {
			waiting.Go(func() {
				if err := b.Await(t.Context(), Answer, bytes); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, bytes)
			})
			synctest.Wait()
		}
		for range b.Limit() {
			b.Release(1)
			synctest.Wait()
		}
		waiting.Wait()
		if !slices.Equal(order, []int64{300, 10, 20}) {
			t.Errorf("read in the order %v", order)
		}
	})
}

// Guards against bytes that are given to others while the buffer that they stand for is still there.
func TestBufferIsGoneWhenItsBytesAreReleased(t *testing.T) {
	b := New(1 << 20)
	buffer, err := b.Read(bytes.NewReader(make([]byte, 10_000)), 10_000, b.Refusing())
	if err != nil {
		t.Fatal(err)
	}
	b.Reserve(Answer, b.Limit()-10_000)
	waiting := make(chan struct{})
	released := make(chan struct{})
	go func() {
		close(waiting)
		if b.Await(context.Background(), Answer, 10_000) == nil && buffer.Bytes != nil {
			t.Error("the buffer is still there")
		}
		close(released)
	}()
	<-waiting
	buffer.Release()
	<-released
}
