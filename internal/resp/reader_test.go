package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReaderTakesPieces(t *testing.T) {
	text := "*2\r\n$3\r\na\r\n\r\n*1\r\n$-1\r\n+OK\r\n-ERR x\r\n:5\r\n$" + "65536\r\n" + strings.Repeat("x", MaxValueBytes) + "\r\n"
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
		t.Errorf("%d of %d bytes", len(got), len(text))
	}
}

// Neither a length nor a count that the other side names takes memory before the bytes have come: what can't become a
// message is rejected by its first line, and nothing further is read for it.
func TestReaderRejectsWhatCannotBecomeAMessage(t *testing.T) {
	for name, malformed := range map[string]string{
		"no type byte":             "PING\r\n",
		"an empty line":            "\n",
		"a size that is no number": "$x\r\n",
		"a negative size":          "$-2\r\n",
		"a value over the limit":   "$65537\r\n",
		"an array over the limit":  "*65\r\n",
		"a negative count":         "*-2\r\n",
		"a value without its end":  "$1\r\nab\r\n",
		"a line without its CR":    "*1\n",
		"a length without end":     "$" + strings.Repeat("1", maxLengthBytes),
		"a line without end":       "+" + strings.Repeat("a", maxLineBytes),
		"arrays three levels deep": "*1\r\n*1\r\n*1\r\n:1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			askedForMore := iotest.ErrReader(errors.New("asked for more"))
			in := NewReader(io.MultiReader(strings.NewReader(malformed), askedForMore), nil)
			if _, err := in.Next(); !errors.Is(err, ErrMalformed) {
				t.Errorf("%.40q: %v", malformed, err)
			}
		})
	}
}

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
