package discovery

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// maxEntryBytes bounds one entry of a list with the space before it. Entries have some 140 bytes, indented 270.
const maxEntryBytes = 8 << 10

var errEntryTooLong = errors.New("an entry is too long")

// silenceTimer ends a call to discovery that gives no sign of life for a time. It is there for machines that fall
// silent without a reset, by a lost route or a power cut: TCP alone would let the call wait for hours, and the gateway
// would go on with an old list. It runs from the start of the call, so a connection or a head that never comes ends
// the call as well. The goroutine that reads the response uses it.
type silenceTimer struct {
	timer *time.Timer
	limit time.Duration
}

// startSilenceTimer calls end, from a goroutine of its own, after limit without a sign of life.
func startSilenceTimer(limit time.Duration, end func()) *silenceTimer {
	return &silenceTimer{timer: time.AfterFunc(limit, end), limit: limit}
}

// signOfLife begins the time anew, also after a suspend.
func (s *silenceTimer) signOfLife() { s.timer.Reset(s.limit) }

// suspend stops the time until the next sign of life.
func (s *silenceTimer) suspend() { s.timer.Stop() }

// stream is the body of a response on its way to the decoder. Blank lines between lists are signs of life; they are kept
// from the decoder, whose buffer would grow with them without end. A list may stand on several lines.
type stream struct {
	source  io.Reader
	silence *silenceTimer
	left    int   // bytes that the entry may still have
	between bool  // the source stands between two lists, or before the first one
	err     error // by which the source ended
}

// newStream returns a stream that stands before its first list.
func newStream(source io.Reader, silence *silenceTimer) *stream {
	return &stream{source: source, silence: silence, left: maxEntryBytes, between: true}
}

// Read is called by the decoder. Within a list a byte is no sign of life, only a whole entry is: a list whose bytes
// drip in would else hold up all further changes.
func (s *stream) Read(b []byte) (int, error) {
	for {
		n, err := s.source.Read(b)
		if s.between {
			if n > 0 {
				s.silence.signOfLife()
			}
			n = copy(b, bytes.TrimLeft(b[:n], " \t\r\n"))
			s.between = n == 0
		}
		if s.left -= n; s.left < 0 {
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

// entryBegins counts the bytes of an entry anew.
func (s *stream) entryBegins() { s.left = maxEntryBytes }

// listEnded notes that a list has been read to its end, with the bytes ahead read behind it.
func (s *stream) listEnded(ahead []byte) {
	s.entryBegins()
	s.between = len(bytes.TrimSpace(ahead)) == 0
}
