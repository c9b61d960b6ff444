// Package resp reads RESP2 messages from a peer that is not trusted: a client's commands and a backend's answers.
//
// Redcon's parser does the decoding, but it takes any length that the other side names, and it can't tell a message
// that is not complete yet from one that never will be. So a Reader first finds the frame of a message, checks it
// against its limits (PROTOCOL-bellwood: values of at most 64 KiB) and takes memory only for bytes that have come.
//
// The emulator of clients and backends (internal/emulator) has a parser of its own, on purpose: one that was shared
// with the gateway would make the same mistake on both sides of a test, and the mistake would not show.
package resp

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/redcon"
)

// Limits of what a Reader takes.
const (
	MaxValueBytes   = 64 << 10              // of a bulk string
	MaxMessageBytes = MaxValueBytes + 8<<10 // of a whole command or answer
	BufferBytes     = 4 << 10               // of a reader's buffer, but for messages that don't fit into it
	maxArrayItems   = 64                    // a command has at most 5, an answer 3
	maxArrayDepth   = 2                     // an array within an array, as redcon gives them
	maxLengthBytes  = 32                    // of the line that gives a length or a count
	maxLineBytes    = 4 << 10               // of a line that is a value by itself
)

// ErrMalformed says that what came is no RESP message within the limits, and can't become one. The stream can't be
// read any further, as the beginning of the next message is not known.
var ErrMalformed = errors.New("malformed RESP")

// ErrNoMemory says that the Memory of a Reader granted nothing for a message longer than its buffer. The message
// stays where it is: Next or Fill may be tried again.
var ErrNoMemory = errors.New("no memory left for a message")

// Memory is a bound on the bytes that several Readers hold together. It must be safe for use by several goroutines.
type Memory interface {
	// Reserve holds n more bytes and returns true, or holds none and returns false.
	Reserve(n int64) bool
	// Release gives back n bytes of those reserved.
	Release(n int64)
}

// Reader reads whole messages from a stream. One goroutine at a time may use it; nothing of it locks.
type Reader struct {
	source   io.Reader
	memory   Memory // for what goes beyond BufferBytes; nil: unbounded
	buffer   []byte
	consumed int // bytes at the beginning of buffer that Next has returned
}

// NewReader returns a Reader of a stream. It takes what it needs beyond BufferBytes from memory, which may be nil:
// then nothing is asked, and MaxMessageBytes alone bounds it. Release gives it back.
func NewReader(source io.Reader, memory Memory) *Reader {
	return &Reader{source: source, memory: memory}
}

// Next returns the next message and waits for it as long as the stream does. The bytes of the message are good until
// the next call of Next, Fill or Release. The error is ErrMalformed, ErrNoMemory, or that of the stream as it stands.
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
		if err := r.Fill(); err != nil {
			return redcon.RESP{}, err
		}
	}
}

// Fill reads once from the stream, without looking at what came. It may be called while ReadAheadLeft is above 0.
// The error is ErrNoMemory, or that of the stream where no byte came with it.
func (r *Reader) Fill() error {
	if r.consumed > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.Buffered())]
		r.consumed = 0
	}
	switch {
	case len(r.buffer) == 0 && cap(r.buffer) != BufferBytes: // also gives back what a long message took
		r.Release()
		r.buffer = make([]byte, 0, BufferBytes)
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

// grow moves what the buffer holds into one of up to twice its size.
func (r *Reader) grow() error {
	size := min(2*cap(r.buffer), MaxMessageBytes)
	if r.memory != nil && !r.memory.Reserve(int64(size-cap(r.buffer))) {
		return ErrNoMemory
	}
	r.buffer = append(make([]byte, 0, size), r.buffer...)
	return nil
}

// Buffered returns the bytes that have been read and that Next has not returned yet. They are good until the next
// call of Next, Fill or Release.
func (r *Reader) Buffered() []byte { return r.buffer[r.consumed:] }

// Partial tells whether bytes of a further message have been read.
func (r *Reader) Partial() bool { return len(r.Buffered()) > 0 }

// ReadAheadLeft is how many bytes may still be read ahead of what Next has returned; at 0 Fill has no place left.
func (r *Reader) ReadAheadLeft() int { return MaxMessageBytes - len(r.Buffered()) }

// Release drops the buffer with what is in it and gives back its memory. The Reader may be used again.
func (r *Reader) Release() {
	if r.memory != nil && cap(r.buffer) > BufferBytes {
		r.memory.Release(int64(cap(r.buffer) - BufferBytes))
	}
	r.buffer, r.consumed = nil, 0
}

// frameLength returns the length of the first message in b, 0 if it is not complete yet. It rejects what can't become
// a message within the limits before memory is taken for it. Arrays may stand in each other as deep as maxDepth.
func frameLength(b []byte, maxDepth int) (int, error) {
	lineLength, err := headerLength(b)
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

// headerLength returns the length of the line that a message begins with, its end included; 0 if that has not come.
func headerLength(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	maxLength := maxLineBytes
	switch b[0] {
	case redcon.Integer, redcon.String, redcon.Error:
	case redcon.Bulk, redcon.Array:
		maxLength = maxLengthBytes
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

// bulkLength returns the length of a bulk string whose first line has the length lineLength and names a size; 0 if
// it is not complete yet. The size -1 stands for no value.
func bulkLength(b []byte, lineLength int, sizeText string) (int, error) {
	size, err := strconv.Atoi(sizeText)
	end := lineLength + size
	switch {
	case err != nil || size < -1 || size > MaxValueBytes:
		return 0, ErrMalformed
	case size < 0:
		return lineLength, nil
	case len(b) < end+len("\r\n"):
		return 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return 0, ErrMalformed
	}
	return end + len("\r\n"), nil
}

// arrayLength returns the length of an array whose first line has the length lineLength and names a count of items; 0
// if it is not complete yet. The count -1 stands for no array.
func arrayLength(b []byte, lineLength int, countText string, maxDepth int) (int, error) {
	count, err := strconv.Atoi(countText)
	if err != nil || count < -1 || count > maxArrayItems || maxDepth == 0 {
		return 0, ErrMalformed
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
