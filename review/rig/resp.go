package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxValue is the length that the operators' protocol page allows for a value.
const maxValue = 64 << 10

var errFormat = errors.New("rig: not RESP2")

// Command encodes a command as an array of bulk strings.
func Command(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

// Bulk encodes a bulk string.
func Bulk(value string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value) }

// readLine reads a line without its CRLF.
func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if len(line) < 3 || !strings.HasSuffix(line, "\r\n") {
		return "", errFormat
	}
	return line[:len(line)-2], nil
}

// readBulk reads a bulk string whose first line has been read. null is true for the null bulk string.
func readBulk(in *bufio.Reader, line string) (value string, null bool, err error) {
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < -1 || n > maxValue {
		return "", false, errFormat
	}
	if n < 0 {
		return "", true, nil
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", false, err
	}
	if string(b[n:]) != "\r\n" {
		return "", false, errFormat
	}
	return string(b[:n]), false, nil
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(line[1:])
	if line[0] != '*' || err != nil || count < 1 || count > 16 {
		return nil, errFormat
	}
	args := make([]string, count)
	for i := range args {
		if line, err = readLine(in); err != nil {
			return nil, err
		}
		if line[0] != '$' {
			return nil, errFormat
		}
		null := false
		if args[i], null, err = readBulk(in, line); err != nil {
			return nil, err
		}
		if null {
			return nil, errFormat
		}
	}
	return args, nil
}

// Reply is what a front door answered.
type Reply struct {
	Line   string // -BUSY, -ERR failed, +PONG and so on; empty for a value
	Value  string
	Served bool // a bulk string that is not null
}

// Busy reports whether the reply is a refusal.
func (r Reply) Busy() bool { return r.Line == "-BUSY" || strings.HasPrefix(r.Line, "-BUSY ") }

// String describes the reply in a record.
func (r Reply) String() string {
	if r.Served {
		return fmt.Sprintf("value %.60q", r.Value)
	}
	return r.Line
}

// readReply reads a reply of a front door.
func readReply(in *bufio.Reader) (Reply, error) {
	line, err := readLine(in)
	if err != nil {
		return Reply{}, err
	}
	switch line[0] {
	case '$':
		value, null, err := readBulk(in, line)
		if null {
			return Reply{Line: line}, err
		}
		return Reply{Value: value, Served: true}, err
	case '*':
		count, err := strconv.Atoi(line[1:])
		if err != nil || count > 16 {
			return Reply{}, errFormat
		}
		first := Reply{Line: line}
		for i := range count {
			item, err := readReply(in)
			if err != nil {
				return Reply{}, err
			}
			if i == 0 {
				first = item
			}
		}
		return first, nil
	case '+', '-', ':':
		return Reply{Line: line}, nil
	}
	return Reply{}, errFormat
}
