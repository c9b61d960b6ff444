package protocol

import (
	"bytes"
	"strings"

	"github.com/tidwall/redcon"
)

// Commands of the clients, in upper case.
const (
	CommandPing = "PING"
	CommandAsk  = "Q.ASK" // for classes whose requests are idempotent
	CommandDo   = "Q.DO"  // for the other classes
)

// HealthCheck is the command that asks a backend whether it answers.
const HealthCheck = "*1\r\n$4\r\nPING\r\n"

// Arguments returns a copy of the bulk strings of a command, and whether it is an array of these.
func Arguments(message redcon.RESP) ([][]byte, bool) {
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

// printable makes what a client sent fit for an error line or the log.
func printable(text []byte) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char > '~' {
			return '?'
		}
		return char
	}, string(text))
}
