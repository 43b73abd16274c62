package reach

import (
	"testing"
	"time"
)

func TestOneFailedServerIsNoCut(t *testing.T) {
	var s Service
	for range 5 {
		s.Failed("a", time.Now())
	}
	if s.Suspected(3) {
		t.Fatal("the failure of one server of three was taken for a cut")
	}
	if !s.Suspected(1) {
		t.Fatal("the failure of the only server was not suspected")
	}
}

func TestAnswerOfAnyServerEndsACut(t *testing.T) {
	var s Service
	s.Failed("a", time.Now())
	s.Failed("b", time.Now())
	if !s.Suspected(3) || !s.ConfirmCutOff() || s.ConfirmCutOff() || !s.IsCutOff() {
		t.Fatal("two failed servers and a failed probe did not count as a cut, once")
	}
	if !s.Answered() || s.Answered() || s.IsCutOff() || s.Suspected(3) {
		t.Fatal("an answer did not end the cut, once")
	}
}

func TestAnswerDuringAProbeOutweighsIt(t *testing.T) {
	var s Service
	s.Failed("a", time.Now())
	s.Failed("b", time.Now())
	s.Answered()
	if s.ConfirmCutOff() || s.IsCutOff() {
		t.Fatal("a probe that began before an answer counted")
	}
}
