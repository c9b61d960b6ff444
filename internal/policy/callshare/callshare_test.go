package callshare_test

import (
	"testing"
	"time"

	"bellwood/internal/policy/callshare"
)

const timeout = 50 * time.Millisecond

func open() *callshare.Controller {
	c := callshare.New(1)
	return &c
}

func TestClosedUntilOpened(t *testing.T) {
	c := &callshare.Controller{}
	if c.Share() != 0 || c.Responds() {
		t.Errorf("share %v, responds %v", c.Share(), c.Responds())
	}
	if c = open(); c.Share() != 1 || !c.Responds() {
		t.Errorf("opened: share %v, responds %v", c.Share(), c.Responds())
	}
}

func TestFailuresLowerTheShareToTheLeast(t *testing.T) {
	c := open()
	for range 14 {
		if c.Failed(); c.Share() >= 1 {
			t.Fatalf("share %v after a failure", c.Share())
		}
	}
	if c.Responds() {
		t.Errorf("a counter that never answers counts as responding at a share of %v", c.Share())
	}
	for range 20 {
		c.Failed()
	}
	if c.Share() != callshare.MinShare {
		t.Errorf("share %v, want the least, %v", c.Share(), callshare.MinShare)
	}
}

func TestAnAnswerBringsASilentCounterBack(t *testing.T) {
	c := open()
	for range 40 {
		c.Failed()
	}
	if c.Answered(0, timeout); c.Share() != callshare.SilentShare {
		t.Errorf("share %v after the first answer, want %v", c.Share(), callshare.SilentShare)
	}
	if c.Answered(0, timeout); !c.Responds() {
		t.Errorf("share %v after the second answer: still silent", c.Share())
	}
	for range 20 {
		c.Answered(0, timeout)
	}
	if c.Share() != 1 {
		t.Errorf("share %v after many quick answers, want 1", c.Share())
	}
}

func TestTheShareFollowsHowLongAnswersTake(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want float64 // of a share of 0.8
	}{
		{0, 0.96},            // grows by a fifth
		{timeout / 4, 0.88},  // by a tenth
		{timeout / 2, 0.8},   // just in time
		{timeout, 0.64},      // shrinks by a fifth
		{10 * timeout, 0.64}, // and no further
	} {
		controller := open()
		controller.Failed() // 0.8
		controller.Answered(c.took, timeout)
		if got := controller.Share(); got < c.want-1e-12 || got > c.want+1e-12 {
			t.Errorf("an answer after %v: share %v, want %v", c.took, got, c.want)
		}
	}
}

func TestAHigherRankGivesWay(t *testing.T) {
	c := open()
	if c.Chance(1) != 1 || c.Chance(6) != 1 {
		t.Errorf("with the full share, chances %v and %v", c.Chance(1), c.Chance(6))
	}
	c.Failed()
	if c.Chance(1) != c.Share() || c.Chance(2) >= c.Chance(1) || c.Chance(0.5) <= c.Chance(1) {
		t.Errorf("share %v: chances %v, %v, %v for ranks 0.5, 1, 2", c.Share(), c.Chance(0.5), c.Chance(1),
			c.Chance(2))
	}
}
