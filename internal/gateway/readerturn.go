package gateway

import (
	"runtime"
	"time"
)

const (
	turnWindow    = 100 * time.Millisecond
	freeTurnBytes = 32 << 10 // which a reader may read and process in a turnWindow without a turn
	turnBytes     = 16 << 10 // after which a reader gives its turn to the next
	commandCost   = 1 << 10  // bytes counted for each command in addition to its own
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

// use counts input of the given number of bytes, and waits for the turn if the reader needs one to go on.
func (turn *readerTurn) use(now time.Duration, bytes int) {
	if now >= turn.windowEnds {
		turn.windowEnds, turn.used = now+turnWindow, 0
	}
	if turn.used += bytes; turn.used <= freeTurnBytes {
		return
	}
	if turn.held && turn.left <= 0 {
		runtime.Gosched() // the event loop and readers that need no turn run first
		turn.end()
	}
	if !turn.held {
		turn.turns <- struct{}{}
		turn.held, turn.left = true, turnBytes
	}
	turn.left -= bytes
}

// end gives the turn to the next reader. It must be called before the reader waits for anything but the event loop.
func (turn *readerTurn) end() {
	if turn.held {
		turn.held = false
		<-turn.turns
	}
}
