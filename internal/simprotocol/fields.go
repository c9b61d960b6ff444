package simprotocol

import (
	"math"
	"strconv"
	"time"

	"bellwood/internal/policy"
)

// timeBits is the size in bits of a time in a line, which is a signed number of microseconds. 54 bits are the most that fit
// into a time.Duration, which counts nanoseconds in 64 bits.
const timeBits = 54

// fieldReader reads the fields of a line in order. It keeps the first error as a *FieldError and goes on, so the values
// read are valid only if err is nil at the end.
type fieldReader struct {
	fields []string
	next   int // index of the next field
	err    error
}

// fail records that the field read last is invalid, unless an error is recorded already.
func (f *fieldReader) fail(want, got string) {
	if f.err == nil {
		f.err = &FieldError{Field: f.next - 1, Want: want, Got: got}
	}
}

// isAbsent reports whether the next field is missing or marked as absent.
func (f *fieldReader) isAbsent() bool { return f.next >= len(f.fields) || f.fields[f.next] == absent }

// raw returns the next field unparsed, or the constant absent if the line has no further field.
func (f *fieldReader) raw() string {
	f.next++
	if f.next > len(f.fields) {
		return absent
	}
	return f.fields[f.next-1]
}

// rest returns all remaining fields.
func (f *fieldReader) rest() []string { return f.fields[min(f.next, len(f.fields)):] }

// text reads a required field.
func (f *fieldReader) text() string {
	field := f.raw()
	if field == absent || field == "" {
		f.fail("a value", field)
	}
	return field
}

// id reads an unsigned 64-bit integer.
func (f *fieldReader) id() uint64 {
	field := f.text()
	id, err := strconv.ParseUint(field, 10, 64)
	if err != nil {
		f.fail("an unsigned 64-bit integer", field)
	}
	return id
}

// uintOr reads an optional unsigned 64-bit integer, which is a count or a bitmap.
func (f *fieldReader) uintOr(fallback uint64) uint64 {
	if f.isAbsent() {
		f.raw()
		return fallback
	}
	return f.id()
}

// integer reads a signed 32-bit integer.
func (f *fieldReader) integer() int {
	field := f.text()
	number, err := strconv.ParseInt(field, 10, 32)
	if err != nil {
		f.fail("a 32-bit integer", field)
	}
	return int(number)
}

// number reads a floating-point number.
func (f *fieldReader) number() float64 {
	field := f.text()
	number, err := strconv.ParseFloat(field, 64)
	if err != nil || math.IsNaN(number) {
		f.fail("a number", field)
	}
	return number
}

// numberOr reads an optional floating-point number.
func (f *fieldReader) numberOr(fallback float64) float64 {
	if f.isAbsent() {
		f.raw()
		return fallback
	}
	return f.number()
}

// flag reads 0 or 1.
func (f *fieldReader) flag() bool {
	field := f.text()
	if field != "0" && field != "1" {
		f.fail("0 or 1", field)
	}
	return field == "1"
}

// duration reads a time in microseconds.
func (f *fieldReader) duration() time.Duration {
	field := f.text()
	micros, err := strconv.ParseInt(field, 10, timeBits)
	if err != nil {
		f.fail("a time in whole microseconds", field)
	}
	return time.Duration(micros) * time.Microsecond
}

// status reads the status of an attempt or call. The protocol and package policy use the same numbers.
func (f *fieldReader) status() policy.Status {
	number := f.integer()
	if number < int(policy.Failed) || number > int(policy.NotSent) {
		f.fail("a status number", strconv.Itoa(number))
	}
	return policy.Status(number)
}

// wordOf reads a word and looks up its value in words. want describes the allowed words in an error.
func wordOf[T any](f *fieldReader, want string, words map[string]T) T {
	field := f.text()
	value, ok := words[field]
	if !ok {
		f.fail(want, field)
	}
	return value
}
