package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Next assembles messages of every type from reads of one byte each.
func TestReaderAssemblesMessagesFromSingleBytes(t *testing.T) {
	text := "*2\r\n$3\r\na\r\n\r\n*1\r\n$-1\r\n+OK\r\n-ERR x\r\n:5\r\n" +
		"$65536\r\n" + strings.Repeat("x", MaxValueBytes) + "\r\n"
	in := NewReader(iotest.OneByteReader(strings.NewReader(text)), nil)
	var got string
	for {
		message, err := in.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got += string(message.Raw)
	}
	if got != text || in.Partial() {
		t.Errorf("got %d of %d bytes; Partial() = %v, want false", len(got), len(text), in.Partial())
	}
}

// A peer must not make the reader allocate memory by announcing a large size or count. Input that can't become a message
// is rejected without a further read.
func TestReaderRejectsMalformedInputWithoutReadingOn(t *testing.T) {
	for name, malformed := range map[string]string{
		"no type byte":               "PING\r\n",
		"empty line":                 "\n",
		"size not a number":          "$x\r\n",
		"negative size":              "$-2\r\n",
		"value over the limit":       "$65537\r\n",
		"array over the limit":       "*65\r\n",
		"negative count":             "*-2\r\n",
		"value without CRLF":         "$1\r\nab\r\n",
		"line without CR":            "*1\n",
		"unterminated size line":     "$" + strings.Repeat("1", maxSizeLineBytes),
		"unterminated simple string": "+" + strings.Repeat("a", maxLineBytes),
		"arrays nested three deep":   "*1\r\n*1\r\n*1\r\n:1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			failOnFurtherRead := iotest.ErrReader(errors.New("unexpected further read"))
			in := NewReader(io.MultiReader(strings.NewReader(malformed), failOnFurtherRead), nil)
			if _, err := in.Next(); !errors.Is(err, ErrMalformed) {
				t.Errorf("%.40q: got error %v, want %v", malformed, err, ErrMalformed)
			}
		})
	}
}

// noMemory is a MemoryBudget that refuses all memory.
type noMemory struct{}

func (noMemory) Reserve(int64) bool { return false }
func (noMemory) Release(int64)      {}

// A message for which there is no memory is consumed completely, however its bytes arrive, and the message behind it is
// returned.
func TestReaderContinuesBehindAMessageWithoutMemory(t *testing.T) {
	long := "$60000\r\n" + strings.Repeat("x", 60000) + "\r\n"
	for name, skipped := range map[string]string{
		"bulk string":     long,
		"array":           "*4\r\n$4\r\nQ.DO\r\n" + long + "$-1\r\n:5\r\n",
		"array in array":  "*2\r\n*2\r\n+a\r\n" + long + "$0\r\n\r\n",
		"short tail":      "*2\r\n$4085\r\n" + strings.Repeat("x", 4085) + "\r\n$1\r\nb\r\n",
		"long first line": "*2\r\n" + long + "+" + strings.Repeat("a", maxLineBytes-3) + "\r\n",
	} {
		for how, stream := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r },
			"in halves": iotest.HalfReader, "in single bytes": iotest.OneByteReader} {
			in := NewReader(stream(strings.NewReader(skipped+"+OK\r\n")), noMemory{})
			if _, err := in.Next(); !errors.Is(err, ErrNoMemory) {
				t.Errorf("%s %s: got error %v, want %v", name, how, err, ErrNoMemory)
			}
			if message, err := in.Next(); err != nil || string(message.Raw) != "+OK\r\n" {
				t.Errorf("%s %s: got %q and error %v behind it, want +OK", name, how, message.Raw, err)
			}
		}
	}
}

// A message that is skipped for lack of memory counts as partly read until its end, and is held to the same limits.
func TestReaderRejectsMalformedMessageWithoutMemory(t *testing.T) {
	long := "$65000\r\n" + strings.Repeat("x", 65000)
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"unfinished":       {"*2\r\n" + long[:30000], io.EOF},
		"without CRLF":     {"*2\r\n" + long + "xx", ErrMalformed},
		"second too long":  {"*2\r\n" + long + "\r\n$65537\r\n", ErrMalformed},
		"message too long": {"*2\r\n" + long + "\r\n" + long + "\r\n", ErrMalformed},
	} {
		in := NewReader(strings.NewReader(c.text), noMemory{})
		if _, err := in.Next(); !errors.Is(err, c.want) || !in.Partial() {
			t.Errorf("%s: got error %v and Partial() = %v, want %v and true", name, err, in.Partial(), c.want)
		}
	}
}

// No input makes the reader panic or read for ever, whether or not there is memory for long messages.
func FuzzReader(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Add("*2\r\n$5000\r\n" + strings.Repeat("x", 5000) + "\r\n$1\r\nb\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		for _, budget := range []MemoryBudget{nil, noMemory{}} {
			in := NewReader(strings.NewReader(stream), budget)
			for {
				if _, err := in.Next(); err != nil && !errors.Is(err, ErrNoMemory) {
					break
				}
			}
		}
	})
}
