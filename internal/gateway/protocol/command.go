package protocol

import (
	"strings"

	"github.com/tidwall/redcon"
)

// Commands that clients send, in upper case.
const (
	CommandPing = "PING"
	CommandAsk  = "Q.ASK" // for classes whose requests are idempotent
	CommandDo   = "Q.DO"  // for all other classes
)

// HealthCheck is the command that the gateway sends to check whether a backend responds.
const HealthCheck = "*1\r\n$4\r\nPING\r\n"

// Arguments returns the bulk strings of a command, which are parts of the message. ok is false if the command is not a
// non-empty array of bulk strings.
func Arguments(message redcon.RESP) (arguments [][]byte, ok bool) {
	if message.Type != redcon.Array || message.Count < 1 {
		return nil, false
	}
	raw := message.Data
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

// IDBytes returns the length of the id in the arguments of a request. It is 0 if there is none.
func IDBytes(args [][]byte) int {
	if len(args) <= argumentID {
		return 0
	}
	return len(args[argumentID])
}

// CloneArguments returns a copy of the arguments of a command.
func CloneArguments(args [][]byte) [][]byte {
	size := 0
	for _, arg := range args {
		size += len(arg)
	}
	text := make([]byte, 0, size)
	cloned := make([][]byte, len(args))
	for i, arg := range args {
		begin := len(text)
		text = append(text, arg...)
		cloned[i] = text[begin:len(text):len(text)]
	}
	return cloned
}

// printable replaces every character outside printable ASCII by '?', so that a client's text can be put into an error
// reply or the log.
func printable(text []byte) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char > '~' {
			return '?'
		}
		return char
	}, string(text))
}
