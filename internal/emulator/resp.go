package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The emulator parses RESP2 by itself, on purpose: a parser shared with the gateway (internal/resp) would make the same
// mistake on both sides of a test, and the mistake would not show.

// Limits of what is read: of a value the protocol's own, the others far above what the protocol needs.
const (
	maxValueBytes = 64 << 10 // of a bulk string, by PROTOCOL-bellwood
	maxItems      = 8        // of a command, or elements of an answer
	maxLineBytes  = 512      // with its end
)

var errMalformed = errors.New("emulator: not RESP2 as the protocol has it")

// readLine reads a line without its end. The bytes are good until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errMalformed
	}
	if err != nil {
		return nil, err
	}
	if len(line) < 3 || len(line) > maxLineBytes || line[len(line)-2] != '\r' {
		return nil, errMalformed
	}
	return line[:len(line)-2], nil
}

// parseLength reads the number of a header such as *3; -1 stands for null.
func parseLength(text []byte, limit int) (int, error) {
	length, err := strconv.Atoi(string(text))
	if err != nil || length < -1 || length > limit {
		return 0, errMalformed
	}
	return length, nil
}

// readBulk reads what follows the header of a bulk string. given is false for null.
func readBulk(in *bufio.Reader, lengthText []byte) (value string, given bool, err error) {
	length, err := parseLength(lengthText, maxValueBytes)
	if err != nil || length < 0 {
		return "", false, err
	}
	b := make([]byte, length+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", false, err
	}
	if b[length] != '\r' || b[length+1] != '\n' {
		return "", false, errMalformed
	}
	return string(b[:length]), true, nil
}

// readCommand reads an array of bulk strings. The error is errMalformed or that of the connection.
func readCommand(in *bufio.Reader) ([]string, error) {
	header, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if header[0] != '*' {
		return nil, errMalformed
	}
	count, err := parseLength(header[1:], maxItems)
	if err != nil {
		return nil, err
	}
	if count < 1 {
		return nil, errMalformed
	}
	args := make([]string, count)
	for i := range args {
		if args[i], err = readArgument(in); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// readArgument reads a bulk string that has to be given.
func readArgument(in *bufio.Reader) (string, error) {
	header, err := readLine(in)
	if err != nil {
		return "", err
	}
	if header[0] != '$' {
		return "", errMalformed
	}
	value, given, err := readBulk(in, header[1:])
	if err == nil && !given {
		err = errMalformed
	}
	return value, err
}

// reply is an answer: a line with its first character, or a value.
type reply struct {
	line    string // such as -BUSY 20
	value   string
	isValue bool // and not null
}

// readReply reads an answer of a gateway. Of an array the first element counts.
func readReply(in *bufio.Reader) (reply, error) {
	header, err := readLine(in)
	if err != nil {
		return reply{}, err
	}
	switch header[0] {
	case '+', '-', ':':
		return reply{line: string(header)}, nil
	case '$':
		value, given, err := readBulk(in, header[1:])
		return reply{value: value, isValue: given}, err
	case '*':
		return readArrayReply(in, header[1:])
	}
	return reply{}, errMalformed
}

// readArrayReply reads the elements of an array, which may be no arrays, and returns the first.
func readArrayReply(in *bufio.Reader, countText []byte) (first reply, err error) {
	count, err := parseLength(countText, maxItems)
	if err != nil {
		return reply{}, err
	}
	for i := range count {
		next, err := in.Peek(1)
		if err != nil {
			return reply{}, err
		}
		if next[0] == '*' {
			return reply{}, errMalformed
		}
		element, err := readReply(in)
		if err != nil {
			return reply{}, err
		}
		if i == 0 {
			first = element
		}
	}
	return first, nil
}

// appendCommand appends a command.
func appendCommand(b []byte, args ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}
