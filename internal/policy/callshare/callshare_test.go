package callshare_test

import (
	"testing"
	"time"

	"bellwood/internal/policy/callshare"
)

const timeout = 50 * time.Millisecond

// fullShare returns a controller that lets every request call.
func fullShare() *callshare.Controller {
	c := callshare.New(1)
	return &c
}

func TestControllerZeroValueAllowsNoCalls(t *testing.T) {
	c := &callshare.Controller{}
	if c.Share() != 0 || c.Responds() {
		t.Errorf("zero value: share %v, responds %v; want 0 and false", c.Share(), c.Responds())
	}
	if c = fullShare(); c.Share() != 1 || !c.Responds() {
		t.Errorf("initial share of 1: share %v, responds %v; want 1 and true", c.Share(), c.Responds())
	}
}

func TestControllerFailuresLowerShareToMinimum(t *testing.T) {
	c := fullShare()
	for range 14 {
		if c.Failed(); c.Share() >= 1 {
			t.Fatalf("share %v after a failure, want less than 1", c.Share())
		}
	}
	if c.Responds() {
		t.Errorf("the counter never answers, but counts as responding at a share of %v", c.Share())
	}
	for range 20 {
		c.Failed()
	}
	if c.Share() != callshare.MinShare {
		t.Errorf("share %v, want the minimum, %v", c.Share(), callshare.MinShare)
	}
}

func TestControllerAnswersMakeUnresponsiveCounterRespondAgain(t *testing.T) {
	c := fullShare()
	for range 40 {
		c.Failed()
	}
	if c.Answered(0, timeout); c.Share() != callshare.UnresponsiveShare {
		t.Errorf("share %v after the first answer, want %v", c.Share(), callshare.UnresponsiveShare)
	}
	if c.Answered(0, timeout); !c.Responds() {
		t.Errorf("share %v after the second answer: still unresponsive", c.Share())
	}
	for range 20 {
		c.Answered(0, timeout)
	}
	if c.Share() != 1 {
		t.Errorf("share %v after many immediate answers, want 1", c.Share())
	}
}

func TestControllerShareFollowsAnswerLatency(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want float64 // starting from a share of 0.8
	}{
		{0, 0.96},            // grows by a fifth
		{timeout / 4, 0.88},  // by a tenth
		{timeout / 2, 0.8},   // exactly on target
		{timeout, 0.64},      // shrinks by a fifth
		{10 * timeout, 0.64}, // but by no more than a fifth
	} {
		controller := fullShare()
		controller.Failed() // 0.8
		controller.Answered(c.took, timeout)
		if got := controller.Share(); got < c.want-1e-12 || got > c.want+1e-12 {
			t.Errorf("an answer after %v: share %v, want %v", c.took, got, c.want)
		}
	}
}

func TestControllerHigherRankLowersCallProbability(t *testing.T) {
	c := fullShare()
	if c.Probability(1) != 1 || c.Probability(6) != 1 {
		t.Errorf("with a share of 1: probabilities %v and %v for ranks 1 and 6, want 1", c.Probability(1), c.Probability(6))
	}
	c.Failed()
	if c.Probability(1) != c.Share() || c.Probability(2) >= c.Probability(1) || c.Probability(0.5) <= c.Probability(1) {
		t.Errorf("share %v: probabilities %v, %v, %v for ranks 0.5, 1, 2; want them to fall and rank 1 to have the share",
			c.Share(), c.Probability(0.5), c.Probability(1), c.Probability(2))
	}
}
