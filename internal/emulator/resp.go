package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The emulator deliberately has its own RESP2 parser. If it shared that of the gateway (internal/resp), a parser bug would
// affect both sides of a test alike and remain undetected.

// Limits of received RESP2 messages. PROTOCOL-bellwood specifies maxBulkBytes; the others are above what the protocol
// needs.
const (
	maxBulkBytes     = 64 << 10 // of a bulk string
	maxArrayElements = 8        // of a command or an array reply
	maxLineBytes     = 512      // including CRLF
)

var errMalformed = errors.New("emulator: malformed RESP2 message")

// readLine reads a line and returns it without CRLF. The bytes are valid until the next read.
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

// parseLength parses the number in a header such as *3. It is -1 for null.
func parseLength(text []byte, limit int) (int, error) {
	length, err := strconv.Atoi(string(text))
	if err != nil || length < -1 || length > limit {
		return 0, errMalformed
	}
	return length, nil
}

// readBulk reads the rest of a bulk string after its header. present is false for the null bulk string.
func readBulk(in *bufio.Reader, lengthText []byte) (value string, present bool, err error) {
	length, err := parseLength(lengthText, maxBulkBytes)
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

// readCommand reads a command, which is an array of bulk strings. The error is errMalformed or that of the connection.
func readCommand(in *bufio.Reader) ([]string, error) {
	header, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if header[0] != '*' {
		return nil, errMalformed
	}
	count, err := parseLength(header[1:], maxArrayElements)
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

// readArgument reads a bulk string that must not be null.
func readArgument(in *bufio.Reader) (string, error) {
	header, err := readLine(in)
	if err != nil {
		return "", err
	}
	if header[0] != '$' {
		return "", errMalformed
	}
	value, present, err := readBulk(in, header[1:])
	if err == nil && !present {
		err = errMalformed
	}
	return value, err
}

// reply is a reply of the gateway: a line or a bulk string. A null bulk string is the zero reply.
type reply struct {
	line    string // with the type character, such as -BUSY 20; empty for a bulk string
	value   string // of a bulk string
	isValue bool   // whether the reply is a bulk string other than null
}

// readReply reads a reply of the gateway. Of an array it returns the first element.
func readReply(in *bufio.Reader) (reply, error) {
	header, err := readLine(in)
	if err != nil {
		return reply{}, err
	}
	switch header[0] {
	case '+', '-', ':':
		return reply{line: string(header)}, nil
	case '$':
		value, present, err := readBulk(in, header[1:])
		return reply{value: value, isValue: present}, err
	case '*':
		return readArrayReply(in, header[1:])
	}
	return reply{}, errMalformed
}

// readArrayReply reads the elements of an array and returns the first. Nested arrays are malformed.
func readArrayReply(in *bufio.Reader, countText []byte) (first reply, err error) {
	count, err := parseLength(countText, maxArrayElements)
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

// appendCommand appends a command, encoded as an array of bulk strings, to b.
func appendCommand(b []byte, args ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}
