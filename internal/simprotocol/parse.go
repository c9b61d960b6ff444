package simprotocol

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"time"

	"bellwood/internal/policy"
)

const (
	readBufferBytes = 1 << 20 // a batch may be several megabytes long
	// maxPreallocatedEntries limits the entries allocated before they are read, whatever number the list announces.
	maxPreallocatedEntries = 1 << 16
)

// ItemKind is the kind of an Item.
type ItemKind int

// Kinds of items.
const (
	InstanceEvent   ItemKind = iota // Item.Event occurs at the instance
	InstanceStarted                 // the instance starts, with Item.Seed and Item.Settings
	InstanceStopped                 // the instance is killed
)

// Item is one entry of a batch. It concerns one instance, which is a simulated gateway.
type Item struct {
	Instance string // name in the protocol, such as door/3
	Kind     ItemKind
	Seed     uint64          // for InstanceStarted
	Settings policy.Settings // for InstanceStarted
	Event    policy.Event    // for InstanceEvent
}

// Batch holds everything that happens at one point in time, in order.
type Batch struct {
	Now    time.Duration // on the simulator's clock
	Number string        // to be repeated in the reply
	Items  []Item
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in   *bufio.Reader
	line int // number of the line read last

	// An endpoint list is sent once, as a CENSUS line and its BACKEND lines. VIEW lines of any number of instances then
	// refer to it by number, so lists are kept until the input ends. The events that refer to a list share its entries,
	// which must not be modified.
	lists       map[int][]policy.Backend
	listNumber  int              // of the list being read
	list        []policy.Backend // the list being read
	entriesLeft int              // entries of list not yet read
}

// NewReader returns a Reader of the simulator's output.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes), lists: map[int][]policy.Backend{}}
}

// Next returns the next batch, or an unwrapped io.EOF if the input ends between two batches. Any other error is a
// *LineError; Next must not be called again after it.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readFirstLine()
	if err != nil {
		return nil, err
	}
	batch, err := parseBatchStart(text)
	if err != nil {
		return nil, r.lineError(text, err)
	}
	for done := false; !done; {
		text, err := r.readLine()
		if err != nil {
			return nil, r.lineError("", unexpectedEOF(err))
		}
		if done, err = r.parseLine(batch, text); err != nil {
			return nil, r.lineError(text, err)
		}
	}
	return batch, nil
}

// readFirstLine reads the first line of a batch. It skips empty lines between batches.
func (r *Reader) readFirstLine() (string, error) {
	for {
		text, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF) && text == "":
			return "", io.EOF
		case err != nil:
			return "", r.lineError("", unexpectedEOF(err))
		case text != "":
			return text, nil
		}
	}
}

// readLine reads a line without its line ending. At the end of the input it returns io.EOF and any incomplete last line.
func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	r.line++
	if err != nil {
		return text, err
	}
	return strings.TrimRight(text, "\r\n"), nil
}

// unexpectedEOF turns io.EOF, which here means the end of input within a batch, into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lineError returns a *LineError for the line read last.
func (r *Reader) lineError(text string, err error) error { return &LineError{r.line, text, err} }

// parseBatchStart parses a CLOCK line.
func parseBatchStart(text string) (*Batch, error) {
	fields := splitLine(text)
	if fields.text() != "CLOCK" {
		return nil, ErrMisplacedMessage
	}
	batch := &Batch{Now: fields.duration(), Number: fields.text()}
	return batch, fields.err
}

// parseLine parses a line within a batch and adds its item, if it is one, to the batch. done tells whether the line ends the
// batch.
func (r *Reader) parseLine(batch *Batch, text string) (done bool, err error) {
	fields := splitLine(text)
	message := fields.text()
	if message == "CLOCK" {
		return false, ErrMisplacedMessage
	}
	if isEntry := message == "BACKEND"; isEntry != (r.entriesLeft > 0) {
		return false, ErrWrongListSize
	}
	switch message {
	case "EOF_BATCH":
		return true, fields.err
	case "CENSUS":
		return false, r.startList(fields)
	case "BACKEND":
		r.list = append(r.list, parseBackend(fields))
		r.entriesLeft--
		r.storeListIfComplete()
		return false, fields.err
	}
	item, err := r.parseItem(message, fields)
	if err != nil {
		return false, err
	}
	batch.Items = append(batch.Items, item)
	return false, nil
}

func splitLine(text string) *fieldReader { return &fieldReader{fields: strings.Split(text, " ")} }

// startList parses a CENSUS line, which announces how many entries follow.
func (r *Reader) startList(fields *fieldReader) error {
	r.listNumber, r.entriesLeft = fields.integer(), fields.integer()
	if r.entriesLeft < 0 {
		return ErrWrongListSize
	}
	r.list = make([]policy.Backend, 0, min(r.entriesLeft, maxPreallocatedEntries))
	r.storeListIfComplete()
	return fields.err
}

// storeListIfComplete stores the list being read once all its entries have been read.
func (r *Reader) storeListIfComplete() {
	if r.entriesLeft == 0 {
		r.lists[r.listNumber] = r.list
	}
}

// parseBackend parses a BACKEND line.
func parseBackend(fields *fieldReader) policy.Backend {
	backend := policy.Backend{Name: fields.text(), Zone: fields.integer(), Kind: fields.integer(), Cell: fields.integer()}
	backend.State = wordOf(fields, "a state", backendStates)
	backend.Weight = fields.numberOr(1)
	if !fields.isAbsent() {
		backend.Started = fields.duration()
	}
	return backend
}

// parseItem parses a line that concerns an instance.
func (r *Reader) parseItem(message string, fields *fieldReader) (Item, error) {
	item := Item{Instance: fields.text()}
	var err error
	switch message {
	case "PROVISION":
		item.Kind, item.Seed = InstanceStarted, fields.id()
		item.Settings, err = parseSettingPairs(fields.rest())
	case "STOP":
		item.Kind = InstanceStopped
	case "VIEW":
		item.Event, err = r.parseEndpointUpdate(fields)
	default:
		parse, known := eventParsers[message]
		if !known {
			return item, ErrUnknownMessage
		}
		item.Event = parse(fields)
	}
	if err != nil {
		return item, err
	}
	return item, fields.err
}

// parseEndpointUpdate parses a VIEW line, which refers to a list by number.
func (r *Reader) parseEndpointUpdate(fields *fieldReader) (policy.Event, error) {
	update := policy.EndpointUpdate{Kind: wordOf(fields, "a scope", updateKinds)}
	fields.text() // the list's version
	if fields.err != nil || update.Kind == policy.UpdateFailed {
		return update, fields.err
	}
	list, known := r.lists[fields.integer()]
	if !known && fields.err == nil {
		return update, ErrUnknownList
	}
	update.Backends = list
	return update, fields.err
}

// eventParsers holds a parser for each message that is an event. The parser reads the fields after the instance's name, and
// leaves any error in the fieldReader.
var eventParsers = map[string]func(*fieldReader) policy.Event{
	"ACCEPT":       parseRequest,
	"VERDICT":      parseAttemptResult,
	"COUNT_RESULT": parseCounterResult,
	"REMINDER":     parseTimer,
	"ABORTED":      parseClientGone,
	"FIRST_BYTE":   parseFirstByte,
	"CHECKED":      parseHealthCheckResult,
	"FROM_PEER":    parsePeerMessage,
}

// clientRetryBit is the bit of the bitmap field of ACCEPT by which the client marks the request as a retry.
const clientRetryBit = 2

func parseRequest(fields *fieldReader) policy.Event {
	request := policy.Request{
		ID:       fields.id(),
		Class:    fields.integer(),
		Plan:     fields.integer(),
		Tenant:   fields.text(),
		TimeLeft: fields.duration(),
	}
	request.Cost = fields.numberOr(1)
	request.Gateways = int(fields.uintOr(0))
	fields.uintOr(0) // first-door: the engine needs only the number of gateways
	request.ClientRetry = fields.uintOr(0)&clientRetryBit != 0
	return request
}

func parseAttemptResult(fields *fieldReader) policy.Event {
	result := policy.AttemptResult{
		ID:      fields.id(),
		Attempt: fields.integer(),
		Backend: fields.text(),
		Status:  fields.status(),
	}
	result.Latency, result.RequestClosed = fields.duration(), fields.flag()
	result.QuotaUsage, result.Cost = int(fields.uintOr(0)), fields.numberOr(0)
	return result
}

func parseCounterResult(fields *fieldReader) policy.Event {
	result := policy.CounterResult{Name: fields.id(), Status: fields.status()}
	if result.Status == policy.OK {
		result.Total = fields.number()
	} else {
		fields.numberOr(0) // must be a number or absent; the value is not used
	}
	return result
}

func parseTimer(fields *fieldReader) policy.Event { return policy.Timer{Cookie: fields.id()} }

func parseClientGone(fields *fieldReader) policy.Event { return policy.ClientGone{ID: fields.id()} }

func parseFirstByte(fields *fieldReader) policy.Event {
	id := fields.id()
	fields.text() // the backend, which the attempt's number already identifies
	return policy.FirstByte{ID: id, Attempt: fields.integer()}
}

func parseHealthCheckResult(fields *fieldReader) policy.Event {
	fields.duration() // latency, not used
	status := fields.status()
	return policy.HealthCheckResult{Status: status, Backend: fields.text()}
}

func parsePeerMessage(fields *fieldReader) policy.Event {
	return policy.PeerMessage{From: fields.integer()}
}
