package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	maxValueBytes = 64 << 10 // bytes of a bulk string
	maxItems      = 8        // of a command, or elements of an answer
	maxLineBytes  = 512      // bytes of a line
)

var errMalformed = errors.New("not RESP2 as the protocol has it")

// respLine reads a line without its end. The bytes hold until the next read.
func respLine(in *bufio.Reader) ([]byte, error) {
	b, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && (len(b) < 3 || len(b) > maxLineBytes || b[len(b)-2] != '\r') {
		return nil, errMalformed
	}
	if err != nil {
		return nil, err
	}
	return b[:len(b)-2], nil
}

// respLength reads a figure such as that of *3, up to most; -1 stands for null.
func respLength(text []byte, most int) (int, error) {
	n, err := strconv.Atoi(string(text))
	if err != nil || n < -1 || n > most {
		return 0, errMalformed
	}
	return n, nil
}

// respBulk reads what follows the line of a bulk string.
func respBulk(in *bufio.Reader, length []byte) (string, bool, error) {
	n, err := respLength(length, maxValueBytes)
	if err != nil || n < 0 {
		return "", false, err
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", false, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return "", false, errMalformed
	}
	return string(b[:n]), true, nil
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	head, err := respLine(in)
	if err != nil {
		return nil, err
	}
	if head[0] != '*' {
		return nil, errMalformed
	}
	n, err := respLength(head[1:], maxItems)
	if err != nil || n < 1 {
		return nil, cmpErr(err)
	}
	args := make([]string, n)
	for i := range args {
		if head, err = respLine(in); err != nil {
			return nil, err
		}
		if head[0] != '$' {
			return nil, errMalformed
		}
		text, given, err := respBulk(in, head[1:])
		if err != nil || !given {
			return nil, cmpErr(err)
		}
		args[i] = text
	}
	return args, nil
}

func cmpErr(err error) error {
	if err == nil {
		return errMalformed
	}
	return err
}

// reply is an answer: a line with its first character, or a value that is not null.
type reply struct {
	line    string // such as -BUSY 20
	value   string
	isValue bool
}

// readReply reads an answer of a door. Of an array the first element counts.
func readReply(in *bufio.Reader) (reply, error) {
	head, err := respLine(in)
	if err != nil {
		return reply{}, err
	}
	switch head[0] {
	case '+', '-', ':':
		return reply{line: string(head)}, nil
	case '$':
		text, given, err := respBulk(in, head[1:])
		return reply{value: text, isValue: given}, err
	case '*':
		n, err := respLength(head[1:], maxItems)
		if err != nil {
			return reply{}, err
		}
		var first reply
		for i := range n {
			head, err := in.Peek(1)
			if err == nil && head[0] == '*' {
				err = errMalformed
			}
			if err != nil {
				return reply{}, err
			}
			r, err := readReply(in)
			if err != nil {
				return reply{}, err
			}
			if i == 0 {
				first = r
			}
		}
		return first, nil
	}
	return reply{}, errMalformed
}

// appendCommand appends a command.
func appendCommand(b []byte, args ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b
}
