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
	readBuffer = 1 << 20 // bytes; batches may run to megabytes
	// Entries that are made room for before they come, whatever number the list announces.
	maxAnnouncedEntries = 1 << 16
)

// ItemKind says what an Item tells.
type ItemKind int

// Kinds of items.
const (
	InstanceEvent   ItemKind = iota // Item.Event happened at the instance
	InstanceStarted                 // the instance starts, with Item.Seed and Item.Settings
	InstanceStopped                 // the instance is killed
)

// Item is one thing of a batch that concerns an instance: a simulated gateway.
type Item struct {
	Instance string // the protocol's name, door/3
	Kind     ItemKind
	Seed     uint64          // of InstanceStarted
	Settings policy.Settings // of InstanceStarted
	Event    policy.Event    // of InstanceEvent
}

// Batch is what happened at one time, in order.
type Batch struct {
	Now    time.Duration // on the simulator's clock
	Number string        // the reply has to give it back
	Items  []Item
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in   *bufio.Reader
	line int // number of the last line

	// Lists are told once, by CENSUS and its entries, and referred to by number, by any number of instances. They are kept
	// to the end; the events that refer to one share its entries, which nobody may change.
	lists      map[int][]policy.Backend
	listNumber int // of the list being told
	list       []policy.Backend
	entriesDue int // entries of list still to come
}

// NewReader returns a Reader of what the simulator writes.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBuffer), lists: map[int][]policy.Backend{}}
}

// Next returns the next batch; io.EOF as it is at the end of input between two batches. Any other error is a *LineError,
// and ends the reading.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readFirstLine()
	if err != nil {
		return nil, err
	}
	batch, err := openBatch(text)
	if err != nil {
		return nil, r.fail(text, err)
	}
	for done := false; !done; {
		text, err := r.readLine()
		if err != nil {
			return nil, r.fail("", unexpectedEOF(err))
		}
		if done, err = r.takeLine(batch, text); err != nil {
			return nil, r.fail(text, err)
		}
	}
	return batch, nil
}

// readFirstLine reads the first line of a batch. Empty lines between batches are passed over.
func (r *Reader) readFirstLine() (string, error) {
	for {
		text, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF) && text == "":
			return "", io.EOF
		case err != nil:
			return "", r.fail("", unexpectedEOF(err))
		case text != "":
			return text, nil
		}
	}
}

// readLine reads a line without its end. Where the input ends it returns io.EOF, with what there is of a line.
func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	r.line++
	if err != nil {
		return text, err
	}
	return strings.TrimRight(text, "\r\n"), nil
}

// unexpectedEOF makes the end of input within a batch an error of its own.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fail says that the line read last can't be taken.
func (r *Reader) fail(text string, err error) error { return &LineError{r.line, text, err} }

// openBatch reads the line CLOCK.
func openBatch(text string) (*Batch, error) {
	fields := splitLine(text)
	if fields.text() != "CLOCK" {
		return nil, ErrOutOfPlace
	}
	batch := &Batch{Now: fields.duration(), Number: fields.text()}
	return batch, fields.err
}

// takeLine takes a line within a batch, and says whether it closes the batch.
func (r *Reader) takeLine(batch *Batch, text string) (done bool, err error) {
	fields := splitLine(text)
	message := fields.text()
	if message == "CLOCK" {
		return false, ErrOutOfPlace
	}
	if isEntry := message == "BACKEND"; isEntry != (r.entriesDue > 0) {
		return false, ErrWrongListSize
	}
	switch message {
	case "EOF_BATCH":
		return true, fields.err
	case "CENSUS":
		return false, r.beginList(fields)
	case "BACKEND":
		r.list = append(r.list, parseBackend(fields))
		r.entriesDue--
		r.endList()
		return false, fields.err
	}
	item, err := r.parseItem(message, fields)
	if err != nil {
		return false, err
	}
	batch.Items = append(batch.Items, item)
	return false, nil
}

func splitLine(text string) *lineFields { return &lineFields{fields: strings.Split(text, " ")} }

// beginList reads the line CENSUS, which says how many entries follow.
func (r *Reader) beginList(fields *lineFields) error {
	r.listNumber, r.entriesDue = fields.index(), fields.index()
	if r.entriesDue < 0 {
		return ErrWrongListSize
	}
	r.list = make([]policy.Backend, 0, min(r.entriesDue, maxAnnouncedEntries))
	r.endList()
	return fields.err
}

// endList keeps a list once all its entries have come.
func (r *Reader) endList() {
	if r.entriesDue == 0 {
		r.lists[r.listNumber] = r.list
	}
}

func parseBackend(fields *lineFields) policy.Backend {
	backend := policy.Backend{Name: fields.text(), Zone: fields.index(), Kind: fields.index(), Cell: fields.index()}
	backend.State = wordOf(fields, "a state", backendStates)
	backend.Weight = fields.numberOr(1)
	if !fields.isAbsent() {
		backend.Started = fields.duration()
	}
	return backend
}

// parseItem reads a line that concerns an instance.
func (r *Reader) parseItem(message string, fields *lineFields) (Item, error) {
	item := Item{Instance: fields.text()}
	var err error
	switch message {
	case "PROVISION":
		item.Kind, item.Seed = InstanceStarted, fields.id()
		item.Settings, err = settingsOfPairs(fields.rest())
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

// parseEndpointUpdate reads the line VIEW, which refers to a list.
func (r *Reader) parseEndpointUpdate(fields *lineFields) (policy.Event, error) {
	update := policy.EndpointUpdate{Kind: wordOf(fields, "a scope", updateKinds)}
	fields.text() // the list's version
	if fields.err != nil || update.Kind == policy.UpdateFailed {
		return update, fields.err
	}
	list, known := r.lists[fields.index()]
	if !known && fields.err == nil {
		return update, ErrUnknownList
	}
	update.Backends = list
	return update, fields.err
}

// eventParsers read the fields after the instance's name, by message. An error is kept in the fields.
var eventParsers = map[string]func(*lineFields) policy.Event{
	"ACCEPT":       parseRequest,
	"VERDICT":      parseAttemptResult,
	"COUNT_RESULT": parseCounterResult,
	"REMINDER":     parseTimer,
	"ABORTED":      parseClientGone,
	"FIRST_BYTE":   parseFirstByte,
	"CHECKED":      parseHealthCheckResult,
	"FROM_PEER":    parsePeerMessage,
}

// clientRetryBit of the field bitmap says that the client marks the request as a repeat.
const clientRetryBit = 2

func parseRequest(fields *lineFields) policy.Event {
	request := policy.Request{
		ID:       fields.id(),
		Class:    fields.index(),
		Plan:     fields.index(),
		Tenant:   fields.text(),
		TimeLeft: fields.duration(),
	}
	request.Cost = fields.numberOr(1)
	request.Gateways = int(fields.countOr(0))
	fields.countOr(0) // first-door: the engine needs no more than the number of gateways
	request.ClientRetry = fields.countOr(0)&clientRetryBit != 0
	return request
}

func parseAttemptResult(fields *lineFields) policy.Event {
	result := policy.AttemptResult{
		ID:      fields.id(),
		Attempt: fields.index(),
		Backend: fields.text(),
		Status:  fields.status(),
	}
	result.Latency, result.RequestClosed = fields.duration(), fields.flag()
	result.QuotaUsage, result.Cost = int(fields.countOr(0)), fields.numberOr(0)
	return result
}

func parseCounterResult(fields *lineFields) policy.Event {
	result := policy.CounterResult{Name: fields.id(), Status: fields.status()}
	if result.Status == policy.OK {
		result.Total = fields.number()
	} else {
		fields.numberOr(0) // must be a number or absent, and means nothing
	}
	return result
}

func parseTimer(fields *lineFields) policy.Event { return policy.Timer{Cookie: fields.id()} }

func parseClientGone(fields *lineFields) policy.Event { return policy.ClientGone{ID: fields.id()} }

func parseFirstByte(fields *lineFields) policy.Event {
	id := fields.id()
	fields.text() // the backend: the attempt's number says which
	return policy.FirstByte{ID: id, Attempt: fields.index()}
}

func parseHealthCheckResult(fields *lineFields) policy.Event {
	fields.duration() // how long it took
	status := fields.status()
	return policy.HealthCheckResult{Status: status, Backend: fields.text()}
}

func parsePeerMessage(fields *lineFields) policy.Event {
	return policy.PeerMessage{From: fields.index()}
}
