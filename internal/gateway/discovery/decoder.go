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
	// maxEntries is the maximum length of a list: about three times the largest fleet (11,000 backends). A gateway holds 1 KB
	// per backend.
	maxEntries = 1 << 15
	// yieldInterval is the number of entries, decoded in about 0.2 ms, after which the decoder yields to other
	// goroutines. The gateway runs on one thread, and the event loop must not wait for a list of 11,000 entries.
	yieldInterval = 32
)

// ErrMalformed is returned if a response of the agent is not a valid endpoint list or exceeds the size limits. The cause
// is wrapped alongside it.
var ErrMalformed = errors.New("malformed endpoint list")

// Causes wrapped with ErrMalformed, in addition to the errors of encoding/json, tokenError and errEntryTooLong.
var (
	errNoIndex        = errors.New("list has no index")
	errNoEndpoints    = errors.New("snapshot has no endpoints")
	errTooManyEntries = fmt.Errorf("list has more than %d entries", maxEntries)
)

// tokenError is an unexpected JSON token in a list.
type tokenError struct {
	got  json.Token
	want string
}

func (e *tokenError) Error() string {
	return fmt.Sprintf("unexpected token %v, want %s", e.got, e.want)
}

// consumer receives the entries of a list from a decoder, on the decoding goroutine, which it may block. If it returns an
// error, the decoder stops and returns that error.
type consumer interface {
	// listBegan reports that a list is being read, before any of its entries.
	listBegan()
	// batch receives entries other than the last ones of the list. They are valid until it returns.
	batch(entries []endpoint.Entry) error
	// lastBatch receives the remaining entries. Of list, only Index and Snapshot are set. They come this late because they
	// may follow the entries in the response.
	lastBatch(list endpoint.List, entries []endpoint.Entry) error
}

// decoder decodes a sequence of JSON objects, each an endpoint list or changes, entry by entry, so that a list of 11,000
// entries is never held in memory as a whole. It is used by one goroutine.
type decoder struct {
	stream   *stream
	json     *json.Decoder
	consumer consumer
}

func newDecoder(stream *stream, consumer consumer) *decoder {
	return &decoder{stream: stream, json: json.NewDecoder(stream), consumer: consumer}
}

// next reads one complete list and returns it without its entries. The error is ErrSuperseded from the consumer, wraps
// the error that ended the stream (perhaps within a list), or wraps ErrMalformed. Nothing more can be read after an error.
func (d *decoder) next() (endpoint.List, error) {
	list, err := d.decodeList()
	switch {
	case err == nil || errors.Is(err, ErrSuperseded):
		return list, err
	case d.stream.err != nil:
		return list, fmt.Errorf("list: %w", d.stream.err)
	}
	return list, fmt.Errorf("list: %w: %w", ErrMalformed, err)
}

// listFields holds the fields of a list that have been read so far.
type listFields struct {
	index        *int64 // nil: not read yet
	snapshot     bool
	hasEndpoints bool
	lastBatch    []endpoint.Entry // entries not passed to the consumer yet
}

// decodeList reads one list.
func (d *decoder) decodeList() (endpoint.List, error) {
	if err := d.expectDelim('{'); err != nil {
		return endpoint.List{}, err
	}
	d.consumer.listBegan()
	var fields listFields
	for d.json.More() {
		d.stream.beginEntry()
		if err := d.decodeField(&fields); err != nil {
			return endpoint.List{}, err
		}
	}
	if err := d.expectDelim('}'); err != nil {
		return endpoint.List{}, err
	}
	switch {
	case fields.index == nil:
		return endpoint.List{}, errNoIndex
	case fields.snapshot && !fields.hasEndpoints:
		return endpoint.List{}, errNoEndpoints
	}
	ahead, _ := io.ReadAll(d.json.Buffered())
	d.stream.endList(ahead)
	list := endpoint.List{Index: *fields.index, Snapshot: fields.snapshot}
	return list, d.consumer.lastBatch(list, fields.lastBatch)
}

// decodeField reads one field. Fields may appear in any order, their names in any case; unknown fields are ignored.
func (d *decoder) decodeField(fields *listFields) error {
	key, err := d.json.Token()
	if err != nil {
		return err
	}
	switch name, _ := key.(string); {
	case strings.EqualFold(name, "index"):
		return d.json.Decode(&fields.index)
	case strings.EqualFold(name, "snapshot"):
		return d.json.Decode(&fields.snapshot)
	case strings.EqualFold(name, "endpoints") && !fields.hasEndpoints:
		fields.hasEndpoints = true
		fields.lastBatch, err = d.decodeEndpoints()
		return err
	}
	return d.json.Decode(new(json.RawMessage))
}

// expectDelim reads a token and fails if it is not the wanted delimiter.
func (d *decoder) expectDelim(want json.Delim) error {
	got, err := d.json.Token()
	if err == nil && got != want {
		err = &tokenError{got: got, want: want.String()}
	}
	return err
}

// decodeEndpoints passes the entries to the consumer in batches, except for the last batch, which it returns.
func (d *decoder) decodeEndpoints() (batch []endpoint.Entry, err error) {
	if begin, err := d.json.Token(); err != nil || begin == nil { // null
		return nil, err
	} else if begin != json.Delim('[') {
		return nil, &tokenError{got: begin, want: "["}
	}
	fullAt := batchThreshold
	for count := 1; d.json.More(); count++ {
		if count > maxEntries {
			return nil, errTooManyEntries
		}
		if len(batch) == fullAt {
			if err := d.consumer.batch(batch); err != nil {
				return nil, err
			}
			batch, fullAt = batch[:0], batchSize
		}
		d.stream.beginEntry()
		batch = append(batch, endpoint.Entry{})
		if err := d.json.Decode(&batch[len(batch)-1]); err != nil {
			return nil, err
		}
		d.stream.idle.reset()
		if count%yieldInterval == 0 {
			runtime.Gosched()
		}
	}
	return batch, d.expectDelim(']')
}
