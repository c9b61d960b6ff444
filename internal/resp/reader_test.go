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

// No input makes the reader panic or read for ever.
func FuzzReader(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		in := NewReader(strings.NewReader(stream), nil)
		for {
			if _, err := in.Next(); err != nil {
				return
			}
		}
	})
}
