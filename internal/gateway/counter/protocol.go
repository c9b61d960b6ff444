package counter

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"bellwood/internal/policy"
)

// maxReplyBytes is the maximum length of a reply, including the end of the line.
const maxReplyBytes = 256

// ReplyError is a reply that the counter's protocol does not define. Data received after it cannot be trusted.
type ReplyError struct{ Reply string }

func (e *ReplyError) Error() string { return fmt.Sprintf("counter: malformed reply %.40q", e.Reply) }

// appendRequest appends a call in the counter's protocol to b. The ttl is sent in whole milliseconds, at least 1.
func appendRequest(b []byte, name uint64, amount float64, ttl time.Duration) []byte {
	return fmt.Appendf(b, "add %d %s %d\r\n", name, strconv.FormatFloat(amount, 'f', -1, 64), max(1, ttl.Milliseconds()))
}

// readReply reads one reply. The error is a *ReplyError, bufio.ErrBufferFull if the reply is too long, or an error of the
// socket.
func readReply(reader *bufio.Reader) (Result, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return Result{}, err
	}
	return parseReply(bytes.TrimRight(line, "\r\n"))
}

// parseReply parses a reply without its line ending.
func parseReply(reply []byte) (Result, error) {
	if total, ok := bytes.CutPrefix(reply, []byte("ok ")); ok {
		value, err := strconv.ParseFloat(string(total), 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return Result{}, &ReplyError{string(reply)}
		}
		return Result{Status: policy.OK, Total: value}, nil
	}
	switch string(reply) {
	case "busy", "error":
		return Result{Status: policy.Rejected}, nil
	}
	return Result{}, &ReplyError{string(reply)}
}
