package discovery

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// maxEntryBytes is the maximum size of a list entry, including the whitespace before it. Entries have about 140 bytes, or
// 270 if indented.
const maxEntryBytes = 8 << 10

var errEntryTooLong = fmt.Errorf("list entry is longer than %d bytes", maxEntryBytes)

// idleTimer ends a call to the agent if nothing is received for too long. It covers machines that become unreachable
// without resetting their connections, for example after a lost route or a power failure: with TCP alone the call would
// wait for hours, and the gateway would keep using an outdated list. The timer starts with the call, so it also covers
// connecting and the response header. It is used by the goroutine that reads the response.
type idleTimer struct {
	timer *time.Timer
	limit time.Duration
}

// startIdleTimer returns a running timer. It calls end, in a goroutine of its own, once limit has passed without a reset.
func startIdleTimer(limit time.Duration, end func()) *idleTimer {
	return &idleTimer{timer: time.AfterFunc(limit, end), limit: limit}
}

// reset restarts the timer, also after stop.
func (s *idleTimer) reset() { s.timer.Reset(s.limit) }

// stop stops the timer until the next reset.
func (s *idleTimer) stop() { s.timer.Stop() }

// stream filters a response body for the decoder. Blank lines between lists are the agent's keepalives: they reset the
// idle timer and are dropped, because the decoder's buffer would grow with them without bound. A list may span several
// lines.
type stream struct {
	source         io.Reader
	idle           *idleTimer
	entryBytesLeft int       // bytes that the current entry may still take
	betweenLists   bool      // the read position is before the first list or between two lists
	listBegan      time.Time // when the first byte of the current list was read
	err            error     // the error with which the source ended
}

// newStream returns a stream positioned before its first list.
func newStream(source io.Reader, idle *idleTimer) *stream {
	return &stream{source: source, idle: idle, entryBytesLeft: maxEntryBytes, betweenLists: true}
}

// Read implements io.Reader for the decoder. Within a list it does not reset the idle timer; the decoder does so after
// each complete entry. Otherwise a list arriving byte by byte could hold up all further changes.
func (s *stream) Read(b []byte) (int, error) {
	for {
		n, err := s.source.Read(b)
		if s.betweenLists {
			if n > 0 {
				s.idle.reset()
			}
			n = copy(b, bytes.TrimLeft(b[:n], " \t\r\n"))
			if n > 0 {
				s.beginList()
			}
		}
		if s.entryBytesLeft -= n; s.entryBytesLeft < 0 {
			return 0, errEntryTooLong
		}
		if err != nil {
			s.err = err
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// beginList records that the first byte of a list has been read.
func (s *stream) beginList() {
	s.betweenLists, s.listBegan = false, time.Now()
}

// beginEntry resets the byte limit for the next entry.
func (s *stream) beginEntry() { s.entryBytesLeft = maxEntryBytes }

// endList records that a complete list has been read. ahead is the data already read after it.
func (s *stream) endList(ahead []byte) {
	s.beginEntry()
	s.betweenLists = true
	if len(bytes.TrimSpace(ahead)) > 0 {
		s.beginList()
	}
}
