package protocol

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/bufferpool"
)

// Indexes of a request's arguments; its command's name is at index 0.
const (
	argumentTenant = 1
	argumentID     = 2
	argumentFields = 3 // list of names and values: c=...,t=...,d=...
)

// maxFramingBytes is an upper bound of the bytes that RESP adds to an argument or an array, and of a time left in digits.
const maxFramingBytes = 32

// maxLoggedID is the maximum length in bytes of a client's id in the log. The ids in the protocol page's examples have 16.
const maxLoggedID = 64

// Request is a parsed request of a client.
type Request struct {
	TimeLeft    time.Duration // how long the client waits, counted from the request's arrival
	Class, Plan int           // indexes into the lists of the settings
	Tenant      string        // in lower case
	Cost        float64       // in units
	Gateways    int           // number of gateways among which the tenant's requests are distributed
	ClientRetry bool          // the client has sent the request before

	args                       [][]byte // the command as received
	timeLeftStart, timeLeftEnd int      // position of the value of d in the list of fields
}

// Clone returns a copy of the request that does not refer to the arguments of Parse.
func (request *Request) Clone() *Request {
	cloned := *request
	cloned.args = CloneArguments(request.args)
	return &cloned
}

// ClientID returns the id that the client gave the request. The caller must not modify it.
func (request *Request) ClientID() []byte { return request.args[argumentID] }

// PrintableID returns the client's id for the log: its first maxLoggedID bytes, with ? for each unprintable character.
func (request *Request) PrintableID() string {
	id := request.ClientID()
	return printable(id[:min(len(id), maxLoggedID)])
}

// Forward returns the command to send to a backend. It is the command as received, except for the value of d, which tells
// the backend how long the gateway will wait. The caller may pass it to bufferpool.Return.
func (request *Request) Forward(wait time.Duration) []byte {
	size := 0
	for _, argument := range request.args {
		size += len(argument) + maxFramingBytes
	}
	command := redcon.AppendArray(bufferpool.Take(size+maxFramingBytes), len(request.args))
	for i, argument := range request.args {
		if i == argumentFields {
			command = request.appendFields(command, wait)
		} else {
			command = redcon.AppendBulk(command, argument)
		}
	}
	return command
}

// appendFields appends the list of fields as a bulk string, with wait as the value of d.
func (request *Request) appendFields(command []byte, wait time.Duration) []byte {
	list := request.args[argumentFields]
	before, after := list[:request.timeLeftStart], list[request.timeLeftEnd:]
	var digits [maxFramingBytes]byte
	timeLeft := strconv.AppendInt(digits[:0], max(1, wait.Milliseconds()), 10)
	command = append(command, byte(redcon.Bulk))
	command = strconv.AppendInt(command, int64(len(before)+len(timeLeft)+len(after)), 10)
	command = append(command, "\r\n"...)
	command = append(command, before...)
	command = append(command, timeLeft...)
	command = append(command, after...)
	return append(command, "\r\n"...)
}

// lacksRequiredField reports whether one of the required fields that the Request stores is missing.
func (request *Request) lacksRequiredField() bool {
	return request.Class < 0 || request.Plan < 0 || request.TimeLeft == 0 || request.Cost == 0 || request.Gateways == 0
}
