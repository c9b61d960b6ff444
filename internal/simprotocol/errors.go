package simprotocol

import (
	"errors"
	"fmt"
)

// Reasons of a LineError.
var (
	ErrMisplacedMessage = errors.New("a batch must begin with CLOCK and contain no further CLOCK")
	ErrWrongListSize    = errors.New("the list does not have the announced number of entries")
	ErrUnknownMessage   = errors.New("unknown message")
	ErrUnknownList      = errors.New("no list with this number")
	ErrMalformedPair    = errors.New("not a path=value pair")
)

// LineError reports an invalid line of the simulator's input, or a failure to read it. It unwraps to the reason: one of
// the errors above, a *FieldError, a *SettingError or the error of the input.
type LineError struct {
	Line int    // line number, from 1
	Text string // the line; empty if the input failed
	Err  error
}

func (e *LineError) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %v: %.200q", e.Line, e.Err, e.Text)
}

func (e *LineError) Unwrap() error { return e.Err }

// FieldError reports an invalid or missing field of a line.
type FieldError struct {
	Field int    // index of the field; 0 is the message's name
	Want  string // what the field must be, such as "0 or 1"
	Got   string // the field; "-" if it is missing
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %d: want %s, got %.40q", e.Field, e.Want, e.Got)
}

// SettingError reports an invalid setting.
type SettingError struct {
	Path   string // such as classes.0.worth
	Reason string // such as "must be a number"
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Path, e.Reason) }
