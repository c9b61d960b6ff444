package protocol

import (
	"fmt"
	"strconv"
	"time"
)

// Replies to clients that the gateway itself gives. Values of backends are passed on as they are.
const (
	Pong              = "+PONG\r\n"
	NoBackendKnown    = "-LOADING no backend is known yet\r\n"                // to PING: requests would have to wait
	NotInSync         = "-LOADING the endpoint list is not confirmed yet\r\n" // to PING: discovery has not answered yet
	OutOfService      = "-LOADING out of service\r\n"                         // to PING: the audit has taken the gateway out of service
	Failed            = "-ERR failed\r\n"                                     // the request may have run, and must not be retried
	NoAnswerInTime    = "-ERR no answer in time\r\n"                          // the gateway has timed out; the request may have run
	IDInUse           = "-ERR the id is that of an open request\r\n"
	IDSpent           = "-ERR the id is that of a request that may have run\r\n"
	ProtocolError     = "-ERR Protocol error\r\n"
	NotBulkStrings    = "-ERR Protocol error: expected an array of bulk strings\r\n"
	CommandIncomplete = "-ERR the command has not come in time\r\n"
)

// Error returns the reply to a request for which Parse returned the error.
func Error(err error) string { return "-ERR " + err.Error() + "\r\n" }

// UnknownCommand returns the reply to an unknown command. name is the command's name as received.
func UnknownCommand(name []byte) string {
	return fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(name))
}

// Busy returns a rejection. It tells the client to wait for retryAfter, rounded up to whole milliseconds, before it sends
// another request; at 0 the rejection states no delay.
func Busy(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}
