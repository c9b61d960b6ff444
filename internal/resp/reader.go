// Package resp reads RESP2 messages from untrusted peers: commands from clients and replies from backends.
//
// Redcon's parser decodes the messages, but it accepts any length that the peer announces, and it can't tell an
// incomplete message from an invalid one. A Reader therefore finds the end of a message itself, enforces the limits
// below (PROTOCOL-bellwood: values of at most 64 KiB) and allocates memory only for bytes that have arrived.
//
// The emulator of clients and backends (internal/emulator) deliberately has its own parser: with a shared one, a parsing
// error would occur on both sides of a test and stay undetected.
package resp

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/redcon"

	"bellwood/internal/bufferpool"
)

// Limits on messages and buffers.
const (
	MaxValueBytes    = 64 << 10              // of a bulk string
	MaxMessageBytes  = MaxValueBytes + 8<<10 // of a whole command or reply
	BufferBytes      = 4 << 10               // initial size of a Reader's buffer, which grows when it is full
	maxArrayItems    = 64                    // a command has at most 5 items, a reply 3
	maxArrayDepth    = 2                     // an array within an array, which redcon parses as well, but no deeper
	maxSizeLineBytes = 32                    // of the first line of a bulk string or an array, which gives its size
	maxLineBytes     = 4 << 10               // of a simple string, an error or an integer
)

// ErrMalformed means that the input is not a RESP2 message within the limits, and that no further input can make it one.
// Nothing more can be read from the stream, as the start of the next message is unknown.
var ErrMalformed = errors.New("malformed RESP")

// ErrNoMemory means that the Reader's MemoryBudget refused the memory to grow the buffer for a longer message. Next has then
// consumed the whole message without keeping it, and can be called for the message behind it. After Fill, what has been
// read stays buffered, and Fill can be retried.
var ErrNoMemory = errors.New("no memory left for a message")

// MemoryBudget limits the total buffer memory of several Readers. Implementations must be safe for concurrent use.
type MemoryBudget interface {
	// Reserve reserves n bytes and returns true, or returns false and reserves nothing.
	Reserve(n int64) bool
	// Release returns n reserved bytes to the budget.
	Release(n int64)
}

// Reader reads whole messages from a stream. It is not safe for concurrent use.
type Reader struct {
	source   io.Reader
	budget   MemoryBudget // for buffer memory beyond BufferBytes; nil: unlimited
	buffer   []byte
	consumed int  // bytes at the start of buffer that Next has returned
	skipping bool // part of a message has been consumed without being kept
}

// NewReader returns a Reader of source. It reserves buffer memory beyond BufferBytes from budget; Release returns it. If
// budget is nil, only MaxMessageBytes limits the buffer.
func NewReader(source io.Reader, budget MemoryBudget) *Reader {
	return &Reader{source: source, budget: budget}
}

// Next returns the next message, and blocks until it is complete. The message's bytes are valid until the next call of
// Next, Fill or Release. The error is ErrMalformed, the unchanged error of the stream, or ErrNoMemory once a message for
// which there was no memory has arrived completely.
func (r *Reader) Next() (redcon.RESP, error) {
	for {
		length, err := frameLength(r.Buffered(), maxArrayDepth)
		if err != nil {
			return redcon.RESP{}, err
		}
		if length > 0 {
			_, message := redcon.ReadNextRESP(r.buffer[r.consumed : r.consumed+length])
			r.consumed += length
			if message.Type == 0 {
				return message, ErrMalformed
			}
			return message, nil
		}
		if r.ReadAheadLeft() <= 0 {
			return redcon.RESP{}, ErrMalformed
		}
		if err := r.Fill(); errors.Is(err, ErrNoMemory) {
			return redcon.RESP{}, cmp.Or(r.skipMessage(), err)
		} else if err != nil {
			return redcon.RESP{}, err
		}
	}
}

// Fill reads once from the stream into the buffer, without parsing. It may be called only while ReadAheadLeft is above 0.
// The error is ErrNoMemory, or the stream's error if the read returned no bytes.
func (r *Reader) Fill() error {
	if r.consumed > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.Buffered())]
		r.consumed = 0
	}
	switch {
	case len(r.buffer) == 0 && cap(r.buffer) != BufferBytes: // also releases the larger buffer of a long message
		r.Release()
		r.buffer = bufferpool.Take(BufferBytes)
	case len(r.buffer) == cap(r.buffer):
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n == 0 {
		return err
	}
	return nil
}

// grow doubles the buffer's capacity, up to MaxMessageBytes.
func (r *Reader) grow() error {
	size := min(2*cap(r.buffer), MaxMessageBytes)
	if r.budget != nil && !r.budget.Reserve(int64(size-cap(r.buffer))) {
		return ErrNoMemory
	}
	grown := append(bufferpool.Take(size), r.buffer...)
	bufferpool.Return(r.buffer)
	r.buffer = grown
	return nil
}

// Buffered returns the bytes that have been read but not yet returned by Next. They are valid until the next call of
// Next, Fill or Release.
func (r *Reader) Buffered() []byte { return r.buffer[r.consumed:] }

// Partial reports whether part of a further message has been read.
func (r *Reader) Partial() bool { return r.skipping || len(r.Buffered()) > 0 }

// ReadAheadLeft returns how many more bytes can be buffered ahead of Next. At 0 there is no room left for Fill.
func (r *Reader) ReadAheadLeft() int { return MaxMessageBytes - len(r.Buffered()) }

// Release discards the buffer with its contents and returns its memory to the budget. The Reader can be used again.
func (r *Reader) Release() {
	if r.budget != nil && cap(r.buffer) > BufferBytes {
		r.budget.Release(int64(cap(r.buffer) - BufferBytes))
	}
	bufferpool.Return(r.buffer)
	r.buffer, r.consumed, r.skipping = nil, 0, false
}

// frameLength returns the length of the first message in b, or 0 if it is incomplete. It rejects input that can't become
// a message within the limits before any memory is allocated for it. Arrays may be nested up to maxDepth.
func frameLength(b []byte, maxDepth int) (int, error) {
	lineLength, err := firstLineLength(b)
	if lineLength == 0 || err != nil {
		return 0, err
	}
	value := string(b[1 : lineLength-len("\r\n")])
	switch b[0] {
	case redcon.Bulk:
		return bulkLength(b, lineLength, value)
	case redcon.Array:
		return arrayLength(b, lineLength, value, maxDepth)
	}
	return lineLength, nil
}

// firstLineLength returns the length of a message's first line, including CRLF, or 0 if the line is incomplete.
func firstLineLength(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	maxLength := maxLineBytes
	switch b[0] {
	case redcon.Integer, redcon.String, redcon.Error:
	case redcon.Bulk, redcon.Array:
		maxLength = maxSizeLineBytes
	default:
		return 0, ErrMalformed
	}
	newline := bytes.IndexByte(b[:min(len(b), maxLength)], '\n')
	switch {
	case newline < 0 && len(b) >= maxLength:
		return 0, ErrMalformed
	case newline < 0:
		return 0, nil
	case newline == 1 || b[newline-1] != '\r':
		return 0, ErrMalformed
	}
	return newline + 1, nil
}

// bulkLength returns the length of the bulk string at the start of b, whose first line has the length lineLength and
// announces sizeText bytes. It returns 0 if the string is incomplete. A size of -1 means a null bulk string.
func bulkLength(b []byte, lineLength int, sizeText string) (int, error) {
	size, err := bulkSize(sizeText)
	end := lineLength + size
	switch {
	case err != nil:
		return 0, err
	case size < 0:
		return lineLength, nil
	case len(b) < end+len("\r\n"):
		return 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return 0, ErrMalformed
	}
	return end + len("\r\n"), nil
}

// bulkSize returns the number of bytes that the first line of a bulk string announces, or -1 for a null bulk string.
func bulkSize(sizeText string) (int, error) {
	size, err := strconv.Atoi(sizeText)
	if err != nil || size < -1 || size > MaxValueBytes {
		return 0, ErrMalformed
	}
	return size, nil
}

// arrayLength returns the length of the array at the start of b, whose first line has the length lineLength and
// announces countText items. It returns 0 if the array is incomplete. A count of -1 means a null array.
func arrayLength(b []byte, lineLength int, countText string, maxDepth int) (int, error) {
	count, err := arrayCount(countText, maxDepth)
	if err != nil {
		return 0, err
	}
	length := lineLength
	for range count {
		item, err := frameLength(b[length:], maxDepth-1)
		if item == 0 || err != nil {
			return 0, err
		}
		length += item
	}
	return length, nil
}

// arrayCount returns the number of items that the first line of an array announces, or -1 for a null array. Arrays may be
// nested up to maxDepth.
func arrayCount(countText string, maxDepth int) (int, error) {
	count, err := strconv.Atoi(countText)
	if err != nil || count < -1 || count > maxArrayItems || maxDepth == 0 {
		return 0, ErrMalformed
	}
	return count, nil
}
