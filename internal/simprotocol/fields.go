package simprotocol

import (
	"math"
	"strconv"
	"time"

	"bellwood/internal/policy"
)

// timeBits is the size of a line's times: signed, in microseconds. 54 bits are the most that fit into a time.Duration, which
// counts nanoseconds in 64.
const timeBits = 54

// lineFields reads a line's fields in order, and keeps the first error as a *FieldError. After an error it goes on with
// zero values.
type lineFields struct {
	fields []string
	next   int
	err    error
}

// fail notes that the field read last is not what is wanted.
func (f *lineFields) fail(want, got string) {
	if f.err == nil {
		f.err = &FieldError{Field: f.next - 1, Want: want, Got: got}
	}
}

// isAbsent says whether the next field is not given.
func (f *lineFields) isAbsent() bool { return f.next >= len(f.fields) || f.fields[f.next] == absent }

// take returns the next field as it stands, and absent beyond the line's end.
func (f *lineFields) take() string {
	f.next++
	if f.next > len(f.fields) {
		return absent
	}
	return f.fields[f.next-1]
}

// rest returns all fields that are left.
func (f *lineFields) rest() []string { return f.fields[min(f.next, len(f.fields)):] }

// text reads a field that has to be given.
func (f *lineFields) text() string {
	field := f.take()
	if field == absent || field == "" {
		f.fail("present", field)
	}
	return field
}

// id reads a whole number of 64 bits.
func (f *lineFields) id() uint64 {
	field := f.text()
	id, err := strconv.ParseUint(field, 10, 64)
	if err != nil {
		f.fail("a whole number", field)
	}
	return id
}

// countOr reads a whole number of 64 bits, a count or a bitmap, that may be absent.
func (f *lineFields) countOr(otherwise uint64) uint64 {
	if f.isAbsent() {
		f.take()
		return otherwise
	}
	return f.id()
}

// index reads a small whole number.
func (f *lineFields) index() int {
	field := f.text()
	index, err := strconv.ParseInt(field, 10, 32)
	if err != nil {
		f.fail("a small whole number", field)
	}
	return int(index)
}

// number reads a number.
func (f *lineFields) number() float64 {
	field := f.text()
	number, err := strconv.ParseFloat(field, 64)
	if err != nil || math.IsNaN(number) {
		f.fail("a number", field)
	}
	return number
}

// numberOr reads a number that may be absent.
func (f *lineFields) numberOr(otherwise float64) float64 {
	if f.isAbsent() {
		f.take()
		return otherwise
	}
	return f.number()
}

// flag reads 0 or 1.
func (f *lineFields) flag() bool {
	field := f.text()
	if field != "0" && field != "1" {
		f.fail("0 or 1", field)
	}
	return field == "1"
}

// duration reads a time in microseconds.
func (f *lineFields) duration() time.Duration {
	field := f.text()
	micros, err := strconv.ParseInt(field, 10, timeBits)
	if err != nil {
		f.fail("a time", field)
	}
	return time.Duration(micros) * time.Microsecond
}

// status reads how an attempt or call ended. The protocol numbers the endings as package policy does.
func (f *lineFields) status() policy.Status {
	number := f.index()
	if number < int(policy.Failed) || number > int(policy.NotSent) {
		f.fail("an outcome", strconv.Itoa(number))
	}
	return policy.Status(number)
}

// wordOf reads a word and looks it up.
func wordOf[T any](f *lineFields, want string, words map[string]T) T {
	field := f.text()
	value, ok := words[field]
	if !ok {
		f.fail(want, field)
	}
	return value
}
