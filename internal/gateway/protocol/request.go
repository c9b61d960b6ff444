package protocol

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"
)

// Arguments of a request's command, behind its name.
const (
	argumentTenant = 1
	argumentID     = 2
	argumentFields = 3 // names and values: c=...,t=...,d=...
)

// maxLoggedID bounds a client's id on the log, in bytes. Those of the protocol page's examples have 16.
const maxLoggedID = 64

// Request is a client's request as it came.
type Request struct {
	TimeLeft    time.Duration // how long the client waits from its arrival on
	Class, Plan int           // indexes of the settings' lists
	Tenant      string        // in lower case
	Cost        float64       // in units
	Gateways    int           // over how many gateways the tenant's requests are spread
	ClientRetry bool          // the client sends it again

	args                       [][]byte // the command as it came
	timeLeftStart, timeLeftEnd int      // where the value of d begins and ends in the list of fields
}

// ClientID is the id that the client gave the request. It must not be changed.
func (request *Request) ClientID() []byte { return request.args[argumentID] }

// PrintableID is the client's id for the log: its first maxLoggedID bytes, with ? for what can't be printed.
func (request *Request) PrintableID() string {
	id := request.ClientID()
	return printable(id[:min(len(id), maxLoggedID)])
}

// Forward returns the command for a backend: as it came but for d, which tells how long this gateway will wait.
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

// missesRequiredField says whether a field that every request needs was not given.
func (request *Request) missesRequiredField() bool {
	return request.Class < 0 || request.Plan < 0 || request.TimeLeft == 0 || request.Cost == 0 || request.Gateways == 0
}
