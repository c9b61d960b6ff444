package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"

	"bellwood/internal/gateway/endpoint"
)

const (
	// maxEntries bounds a list: three times the largest fleet (11,000 backends), for which a gateway holds 1 KB each.
	maxEntries = 1 << 15
	// After each yieldEach entries, some 0.2 ms, the decoder lets other goroutines run: the gateway has one thread, and
	// the event loop must not wait for a list of 11,000 entries.
	yieldEach = 32
)

// ErrMalformed says that a response of discovery is no endpoint list, or one beyond the bounds. The reason is wrapped
// beside it.
var ErrMalformed = errors.New("malformed endpoint list")

// Reasons of an ErrMalformed, beside those of encoding/json.
var (
	errNoIndex   = errors.New("no index")
	errNoEntries = errors.New("a snapshot without its entries")
	errTooLong   = errors.New("too many entries")
)

// tokenError says that a list has another JSON token than its form requires.
type tokenError struct {
	got  json.Token
	want string
}

func (e *tokenError) Error() string { return fmt.Sprintf("%v in place of %s", e.got, e.want) }

// consumer takes what a decoder reads of one list. The calls come from the goroutine that decodes and may block it; an
// error ends the list and is returned by the decoder.
type consumer interface {
	// part takes entries that are not the last of their list. They are valid until it returns.
	part(entries []endpoint.Entry) error
	// last takes the entries that remain. list has only the index and the kind, as these may stand behind the entries.
	last(list endpoint.List, entries []endpoint.Entry) error
}

// decoder reads endpoint lists and changes, one JSON object behind another, entry by entry: a list of 11,000 entries
// is never gathered. One goroutine uses it.
type decoder struct {
	stream   *stream
	json     *json.Decoder
	consumer consumer
}

func newDecoder(stream *stream, consumer consumer) *decoder {
	return &decoder{stream: stream, json: json.NewDecoder(stream), consumer: consumer}
}

// next reads one list to its end and returns it without its entries. The error is that of the consumer, or that of the
// stream where it ended, perhaps within a list, or else wraps ErrMalformed; then nothing further can be read.
func (d *decoder) next() (endpoint.List, error) {
	list, err := d.object()
	switch {
	case err == nil || errors.Is(err, ErrSuperseded):
		return list, err
	case d.stream.err != nil:
		return list, fmt.Errorf("list: %w", d.stream.err)
	}
	return list, fmt.Errorf("list: %w: %w", ErrMalformed, err)
}

// listFields are the fields of a list as far as they have been read.
type listFields struct {
	index      *int64 // nil: not read
	snapshot   bool
	hasEntries bool
	remaining  []endpoint.Entry // entries that were not handed on yet
}

// object reads one list.
func (d *decoder) object() (endpoint.List, error) {
	if err := d.delimiter('{'); err != nil {
		return endpoint.List{}, err
	}
	var fields listFields
	for d.json.More() {
		d.stream.entryBegins()
		if err := d.field(&fields); err != nil {
			return endpoint.List{}, err
		}
	}
	if err := d.delimiter('}'); err != nil {
		return endpoint.List{}, err
	}
	switch {
	case fields.index == nil:
		return endpoint.List{}, errNoIndex
	case fields.snapshot && !fields.hasEntries:
		return endpoint.List{}, errNoEntries
	}
	ahead, _ := io.ReadAll(d.json.Buffered())
	d.stream.listEnded(ahead)
	list := endpoint.List{Index: *fields.index, Snapshot: fields.snapshot}
	return list, d.consumer.last(list, fields.remaining)
}

// field reads the next field, whichever comes, without regard to case. Unknown ones are passed over.
func (d *decoder) field(fields *listFields) error {
	key, err := d.json.Token()
	if err != nil {
		return err
	}
	switch name, _ := key.(string); {
	case strings.EqualFold(name, "index"):
		return d.json.Decode(&fields.index)
	case strings.EqualFold(name, "snapshot"):
		return d.json.Decode(&fields.snapshot)
	case strings.EqualFold(name, "endpoints") && !fields.hasEntries:
		fields.hasEntries = true
		fields.remaining, err = d.endpoints()
		return err
	}
	return d.json.Decode(new(json.RawMessage))
}

func (d *decoder) delimiter(want json.Delim) error {
	got, err := d.json.Token()
	if err == nil && got != want {
		err = &tokenError{got: got, want: want.String()}
	}
	return err
}

// endpoints hands on the entries in parts, but for the last part, which it returns.
func (d *decoder) endpoints() (part []endpoint.Entry, err error) {
	if begin, err := d.json.Token(); err != nil || begin == nil { // null
		return nil, err
	} else if begin != json.Delim('[') {
		return nil, &tokenError{got: begin, want: "["}
	}
	fullAt := partThreshold
	for count := 1; d.json.More(); count++ {
		if count > maxEntries {
			return nil, errTooLong
		}
		if len(part) == fullAt {
			if err := d.consumer.part(part); err != nil {
				return nil, err
			}
			part, fullAt = part[:0], partSize
		}
		d.stream.entryBegins()
		part = append(part, endpoint.Entry{})
		if err := d.json.Decode(&part[len(part)-1]); err != nil {
			return nil, err
		}
		d.stream.silence.signOfLife()
		if count%yieldEach == 0 {
			runtime.Gosched()
		}
	}
	return part, d.delimiter(']')
}
