package simprotocol

import (
	"errors"
	"fmt"
)

// Reasons of a LineError.
var (
	ErrOutOfPlace     = errors.New("out of place in its batch")
	ErrWrongListSize  = errors.New("the list has another number of entries")
	ErrUnknownMessage = errors.New("unknown message")
	ErrUnknownList    = errors.New("no list of this number was told")
	ErrNoPair         = errors.New("a setting is no path=value pair")
)

// LineError says which line of the simulator's input can't be read. It unwraps to the reason: one of the errors above, a
// *FieldError, a *SettingError or the error of the input.
type LineError struct {
	Line int    // from 1
	Text string // of the line; empty where the input failed
	Err  error
}

func (e *LineError) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %v: %.200q", e.Line, e.Err, e.Text)
}

func (e *LineError) Unwrap() error { return e.Err }

// FieldError says which field of a line can't be read.
type FieldError struct {
	Field int // from 0, the message's name
	Want  string
	Got   string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %d: not %s: %.40q", e.Field, e.Want, e.Got)
}

// SettingError says which setting can't be used.
type SettingError struct {
	Path   string // classes.0.worth
	Reason string
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Path, e.Reason) }
