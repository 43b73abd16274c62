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

func TestAnswersOverOpenConnectionsDoNotEndACutOfNewOnes(t *testing.T) {
	var s Service
	s.ConnectFailed("a", time.Now())
	s.Answered()
	s.ConnectFailed("b", time.Now())
	if s.Answered(); !s.Suspected(44) || !s.ConfirmCutOff() || s.Answered() || !s.IsCutOff() || !s.OpenConnectionsWork() {
		t.Fatal("two servers that could not be reached and a failed probe did not count as a cut")
	}
	if !s.Connected(time.Now()) || s.IsCutOff() || s.Suspected(44) {
		t.Fatal("a new connection did not end the cut")
	}
}

func TestServersThatAreDownAreNoEvidenceAfterAProbe(t *testing.T) {
	var s Service
	now := time.Now()
	fail := func(servers ...string) {
		for _, server := range servers {
			s.ConnectFailed(server, now)
		}
	}
	fail("a", "b")
	s.Connected(now)
	fail("a", "b")
	if s.Answered(); s.Suspected(44) {
		t.Fatal("servers that are down were taken for a cut once more")
	}
	if fail("c", "d"); !s.Suspected(44) {
		t.Fatal("other servers that could not be reached were not suspected")
	}
	s.Connected(now)
	now = now.Add(excusedFor)
	if fail("a", "b"); !s.Suspected(44) {
		t.Fatal("a later failure of the same servers was not suspected")
	}
}

func TestContextOfLinksEndsOnlyIfOpenConnectionsFailToo(t *testing.T) {
	var s Service
	linked := s.Linked()
	s.ConnectFailed("a", time.Now())
	s.ConnectFailed("b", time.Now())
	s.ConfirmCutOff()
	if linked.Err() != nil {
		t.Fatal("it ended where only new connections fail")
	}
	if s.Failed("c", time.Now()); linked.Err() == nil || s.Linked().Err() == nil {
		t.Fatal("it did not end when an open connection failed")
	}
	if s.Connected(time.Now()); s.Linked().Err() != nil {
		t.Fatal("it is not renewed after the cut")
	}
}
