package protocol

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"
)

// Indexes of a request's arguments; its command's name is at index 0.
const (
	argumentTenant = 1
	argumentID     = 2
	argumentFields = 3 // list of names and values: c=...,t=...,d=...
)

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

// ClientID returns the id that the client gave the request. The caller must not modify it.
func (request *Request) ClientID() []byte { return request.args[argumentID] }

// PrintableID returns the client's id for the log: its first maxLoggedID bytes, with ? for each unprintable character.
func (request *Request) PrintableID() string {
	id := request.ClientID()
	return printable(id[:min(len(id), maxLoggedID)])
}

// Forward returns the command to send to a backend. It is the command as received, except for the value of d, which tells
// the backend how long the gateway will wait.
func (request *Request) Forward(wait time.Duration) []byte {
	command := redcon.AppendArray(nil, len(request.args))
	for i, argument := range request.args {
		if i == argumentFields {
			list := append([]byte(nil), argument[:request.timeLeftStart]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			argument = append(list, argument[request.timeLeftEnd:]...)
		}
		command = redcon.AppendBulk(command, argument)
	}
	return command
}

// lacksRequiredField reports whether one of the required fields that the Request stores is missing.
func (request *Request) lacksRequiredField() bool {
	return request.Class < 0 || request.Plan < 0 || request.TimeLeft == 0 || request.Cost == 0 || request.Gateways == 0
}
