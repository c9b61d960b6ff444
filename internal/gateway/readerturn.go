package gateway

import (
	"runtime"
	"time"

	"bellwood/internal/resp"
)

const (
	turnWindow    = 100 * time.Millisecond
	turnBytes     = 32 << 10                           // after which a reader gives its turn to the next
	commandCost   = 2 << 10                            // bytes counted for each command in addition to its own
	freeTurnBytes = resp.MaxMessageBytes + commandCost // which a reader may use in a turnWindow without a turn
)

// readerTurns divides the processor fairly among the readers of client connections. A reader with much input needs a turn
// for each part of it, and only one reader has the turn. So however many clients send at full speed, the event loop and the
// readers of all other connections wait for one of them at most.
type readerTurns chan struct{}

func newReaderTurns() readerTurns { return make(readerTurns, 1) }

// readerTurn is the state of one reader. The reader owns it.
type readerTurn struct {
	turns      readerTurns
	windowEnds time.Duration // on the event loop's clock
	used       int           // bytes in this window
	held       bool          // the reader has the turn
	left       int           // bytes of the turn
}

// use counts input of the given number of bytes, and waits for the turn if the reader needs one to go on. It returns how long
// it has waited.
func (turn *readerTurn) use(now time.Duration, bytes int) (waited time.Duration) {
	if now >= turn.windowEnds {
		turn.windowEnds, turn.used = now+turnWindow, 0
	}
	if turn.used += bytes; turn.used <= freeTurnBytes {
		return 0
	}
	if turn.held && turn.left <= 0 {
		runtime.Gosched() // the event loop and readers that need no turn run first
		turn.end()
	}
	if !turn.held {
		waited = turn.wait()
		turn.left = turnBytes
	}
	turn.left -= bytes
	return waited
}

// wait waits until the reader has the turn, and returns how long that took.
func (turn *readerTurn) wait() time.Duration {
	turn.held = true
	select {
	case turn.turns <- struct{}{}:
		return 0
	default:
	}
	since := time.Now()
	turn.turns <- struct{}{}
	return time.Since(since)
}

// end gives the turn to the next reader. It must be called before the reader waits for anything but the event loop.
func (turn *readerTurn) end() {
	if turn.held {
		turn.held = false
		<-turn.turns
	}
}
