package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Bounds against nonsense in the settings.
const (
	maxWholeNumber = 1e9
	maxTimeMicros  = 10 * 365 * 86400e6 // ten years
	maxListLength  = 1 << 12            // classes or plans
)

// settingValues reads settings by their paths, and keeps the first error as a *SettingError. After an error it goes on
// with zero values.
type settingValues struct {
	values map[string]string
	err    error
}

func (v *settingValues) fail(path, reason string) {
	if v.err == nil {
		v.err = &SettingError{path, reason}
	}
}

// number reads a number; an absent one is 0. None of the settings can be below that.
func (v *settingValues) number(path string) float64 {
	value, given := v.values[path]
	if !given || value == absent {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		v.fail(path, "not a number")
		return 0
	}
	if number < 0 {
		v.fail(path, "below 0")
	}
	return number
}

// wholeNumber reads a whole number; an absent one is 0.
func (v *settingValues) wholeNumber(path string) int {
	number := v.number(path)
	if number != math.Trunc(number) || number > maxWholeNumber {
		v.fail(path, "not a whole number within reason")
		return 0
	}
	return int(number)
}

// duration reads a time in microseconds; an absent one is 0.
func (v *settingValues) duration(path string) time.Duration {
	micros := v.number(path)
	if micros > maxTimeMicros {
		v.fail(path, "longer than ten years")
		return 0
	}
	return time.Duration(micros * float64(time.Microsecond))
}

// listLength reads the length of a list of objects, which has to have an entry.
func (v *settingValues) listLength(list string) int {
	length := v.wholeNumber(list + ".count")
	if length < 1 || length > maxListLength {
		v.fail(list, fmt.Sprintf("%d entries, not 1 to %d", length, maxListLength))
		return 0
	}
	return length
}

// flag reads true or false; an absent one is false.
func (v *settingValues) flag(path string) bool { return settingWord(v, path, flags) }

// settingWord looks a setting's word up in a table; an absent one gives the zero value.
func settingWord[T any](v *settingValues, path string, words map[string]T) T {
	word, given := v.values[path]
	value, known := words[word]
	if given && !known {
		v.fail(path, "unknown word")
	}
	return value
}

// failUnless fails a setting that has to be above 0 because another one is set. The caller says whether it is, or needn't be.
func (v *settingValues) failUnless(isPositiveOrUnused bool, path, because string) {
	if !isPositiveOrUnused {
		v.fail(path, "not above 0, with "+because)
	}
}
