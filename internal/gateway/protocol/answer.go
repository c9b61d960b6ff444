package protocol

import (
	"fmt"
	"strconv"
	"time"
)

// Replies to clients, beside the values of backends.
const (
	Pong              = "+PONG\r\n"
	NoBackendKnown    = "-LOADING no backend is known yet\r\n" // to a PING: requests would wait
	OutOfService      = "-LOADING out of service\r\n"          // to a PING: the audit has suspended the gateway
	Failed            = "-ERR failed\r\n"                      // it may have run, and must not run again
	NoAnswerInTime    = "-ERR no answer in time\r\n"           // the gateway gave it up; it may have run
	IDInUse           = "-ERR the id is that of an open request\r\n"
	ProtocolError     = "-ERR Protocol error\r\n"
	NotBulkStrings    = "-ERR Protocol error: expected an array of bulk strings\r\n"
	NoMemory          = "-ERR no memory for a command as long as this\r\n"
	CommandIncomplete = "-ERR the command has not come in time\r\n"
)

// Error answers a request that Parse could not read.
func Error(err error) string { return "-ERR " + err.Error() + "\r\n" }

// UnknownCommand answers a command of this name, as it came.
func UnknownCommand(name []byte) string {
	return fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(name))
}

// Busy is a rejection, with the time to stay away in whole milliseconds; 0: none is told.
func Busy(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}
