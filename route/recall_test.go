package route

import (
	"testing"
	"time"
)

func TestRefusedRequestsAreRecalled(t *testing.T) {
	now := time.Unix(0, 0)
	here, there := NewRecall(6*time.Second, time.Second), NewRecall(6*time.Second, time.Second)
	here.Refused(7, now)
	there.Told(here.Fresh(now.Add(900*time.Millisecond)), now.Add(900*time.Millisecond))
	if !here.Returns(7, now.Add(5*time.Second)) || !there.Returns(7, now.Add(5*time.Second)) {
		t.Fatal("a refusal is not recalled")
	}
	if there.Returns(8, now) || here.Returns(7, now.Add(6*time.Second)) {
		t.Fatal("recalled what was not refused, or for too long")
	}
	if got := here.Fresh(now.Add(time.Second)); len(got) != 0 {
		t.Fatalf("told again after it was old: %v", got)
	}
	if len(there.Fresh(now)) != 0 {
		t.Fatal("passed on what a sibling told")
	}
}

func TestRecallIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	recall := NewRecall(time.Hour, time.Second)
	for id := range uint32(3 * mostRecalled) {
		now = now.Add(time.Millisecond)
		recall.Refused(id, now)
		recall.Fresh(now)
	}
	if len(recall.refused) > mostRecalled || !recall.Returns(3*mostRecalled-1, now) {
		t.Fatalf("%d are kept", len(recall.refused))
	}
}
