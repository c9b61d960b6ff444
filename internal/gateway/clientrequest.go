package gateway

import (
	"bytes"
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

// clientRequest is a client's request as its connection read it.
type clientRequest struct {
	conn      *clientConn
	reply     *pendingReply // the place of its answer among those of the connection
	requestID uint64        // the loop's; 0: it was not taken in

	arrivedAt   time.Duration // when its last byte was read, on the loop's clock
	timeLeft    time.Duration // how long the client waits from then on
	class, plan int           // indexes of the settings' lists
	tenant      string
	cost        float64 // in units
	gateways    int     // over how many gateways the tenant's requests are spread
	clientRetry bool    // the client sends it again

	args                     [][]byte // the command as it came
	timeLeftFrom, timeLeftTo int      // where the figure of d stands in the list of fields
}

// clientID is the id that the client gave the request.
func (request *clientRequest) clientID() string { return string(request.args[argumentID]) }

// answer gives the request its answer, once; a further one is passed over. It does not wait for the client.
func (request *clientRequest) answer(text []byte) { request.conn.answer(request.reply, text) }

// forward returns the command for a backend: as it came but for d, which tells how long this gateway will wait.
func (request *clientRequest) forward(wait time.Duration) []byte {
	command := redcon.AppendArray(nil, len(request.args))
	for i, argument := range request.args {
		if i == argumentFields {
			list := append([]byte(nil), argument[:request.timeLeftFrom]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			argument = append(list, argument[request.timeLeftTo:]...)
		}
		command = redcon.AppendBulk(command, argument)
	}
	return command
}

// arguments returns a copy of the bulk strings of a command, and whether it is an array of these.
func arguments(message redcon.RESP) ([][]byte, bool) {
	if message.Type != redcon.Array || message.Count < 1 {
		return nil, false
	}
	raw := bytes.Clone(message.Data)
	args := make([][]byte, 0, message.Count)
	for range message.Count {
		n, item := redcon.ReadNextRESP(raw)
		if item.Type != redcon.Bulk || item.Data == nil {
			return nil, false
		}
		args = append(args, item.Data)
		raw = raw[n:]
	}
	return args, true
}

// busyReply is a rejection, with the time to stay away in whole milliseconds; 0: none is told.
func busyReply(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}
