package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Upper bounds that reject implausible settings.
const (
	maxWholeNumber = 1e9
	maxTimeMicros  = 10 * 365 * 86400e6 // ten years
	maxListLength  = 1 << 12            // classes or plans
)

// settingValues reads settings by path. It keeps the first error as a *SettingError and goes on, so the values read are
// valid only if err is nil at the end.
type settingValues struct {
	values map[string]string
	err    error
}

// fail records an invalid setting, unless an error is recorded already.
func (v *settingValues) fail(path, reason string) {
	if v.err == nil {
		v.err = &SettingError{path, reason}
	}
}

// number reads a number, which defaults to 0. No setting may be negative.
func (v *settingValues) number(path string) float64 {
	value, given := v.values[path]
	if !given || value == absent {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		v.fail(path, "must be a number")
		return 0
	}
	if number < 0 {
		v.fail(path, "must not be negative")
	}
	return number
}

// wholeNumber reads a whole number, which defaults to 0.
func (v *settingValues) wholeNumber(path string) int {
	number := v.number(path)
	if number != math.Trunc(number) || number > maxWholeNumber {
		v.fail(path, fmt.Sprintf("must be a whole number from 0 to %d", int(maxWholeNumber)))
		return 0
	}
	return int(number)
}

// duration reads a time in microseconds, which defaults to 0.
func (v *settingValues) duration(path string) time.Duration {
	micros := v.number(path)
	if micros > maxTimeMicros {
		v.fail(path, "must be at most ten years")
		return 0
	}
	return time.Duration(micros * float64(time.Microsecond))
}

// listLength reads the length of a list of objects, which must have 1 to maxListLength entries.
func (v *settingValues) listLength(list string) int {
	length := v.wholeNumber(list + ".count")
	if length < 1 || length > maxListLength {
		v.fail(list, fmt.Sprintf("must have 1 to %d entries, has %d", maxListLength, length))
		return 0
	}
	return length
}

// flag reads a boolean, which defaults to false.
func (v *settingValues) flag(path string) bool { return settingWord(v, path, flags) }

// settingWord reads a setting that is a word, and looks up its value in words. If the setting is not given, the result is
// the value of the empty word, or the zero value if words has no empty word.
func settingWord[T any](v *settingValues, path string, words map[string]T) T {
	word, given := v.values[path]
	value, known := words[word]
	if given && !known {
		v.fail(path, "unknown value")
	}
	return value
}

// requirePositive records an error for path, which must be above 0 if the setting requiredBy is set. ok tells whether that
// holds: path is above 0, or requiredBy is not set.
func (v *settingValues) requirePositive(ok bool, path, requiredBy string) {
	if !ok {
		v.fail(path, "must be above 0 if "+requiredBy+" is set")
	}
}
