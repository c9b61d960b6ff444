package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errSyntax = errors.New("not RESP")

// Command encodes a command as an array of bulk strings.
func Command(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return "", errSyntax
	}
	return line[:len(line)-2], nil
}

// readBulk reads the rest of a bulk string, after its first line.
func readBulk(in *bufio.Reader, line string) (string, error) {
	size, err := strconv.Atoi(line[1:])
	if err != nil || line[0] != '$' || size < 0 || size > 1<<17 {
		return "", errSyntax
	}
	data := make([]byte, size+2)
	if _, err := io.ReadFull(in, data); err != nil {
		return "", err
	}
	if string(data[size:]) != "\r\n" {
		return "", errSyntax
	}
	return string(data[:size]), nil
}

// ReadCommand reads a command, an array of bulk strings.
func ReadCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(line[1:])
	if err != nil || line[0] != '*' || count < 1 || count > 16 {
		return nil, errSyntax
	}
	args := make([]string, count)
	for i := range args {
		if line, err = readLine(in); err != nil {
			return nil, err
		}
		if args[i], err = readBulk(in, line); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// Answer is what a gateway answered to one command.
type Answer struct {
	Value string // if Served
	Line  string // otherwise: the line as it came
	Kind  string // "served", "refused" or "failed"
}

// ReadAnswer reads one answer. The error is that of the connection, or errSyntax.
func ReadAnswer(in *bufio.Reader) (Answer, error) {
	line, err := readLine(in)
	if err != nil {
		return Answer{}, err
	}
	switch {
	case line[0] == '$' && line != "$-1":
		value, err := readBulk(in, line)
		return Answer{Value: value, Kind: "served"}, err
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		return Answer{Line: line, Kind: "refused"}, nil
	case line[0] == '-' || line[0] == '+' || line[0] == ':':
		return Answer{Line: line, Kind: "failed"}, nil
	}
	return Answer{}, errSyntax
}

// Field returns the value of a field of a command's list.
func Field(list, name string) string {
	for item := range strings.SplitSeq(list, ",") {
		if value, ok := strings.CutPrefix(item, name+"="); ok {
			return value
		}
	}
	return ""
}
