package protocol

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
)

// Names of request fields on the wire. Any other field is passed on to the backend unchanged.
const (
	fieldClass        = "c"
	fieldPlan         = "t"
	fieldTimeLeft     = "d" // how long the client will wait, in ms
	fieldKey          = "k" // the idempotency key
	fieldRetry        = "r" // 1 if the client has sent the request before
	fieldCost         = "units"
	fieldGateways     = "spread" // number of gateways among which the tenant's requests are distributed
	fieldFirstGateway = "first"  // index of the first of these gateways
)

const (
	timeLeftTolerance     = time.Second // a client's d may exceed the timeout of its class by this much
	defaultMaxRequestCost = 1e9         // in units, if the settings give no limit
	maxNumberBytes        = 64          // of a number in a field
	tenantDigits          = 16          // hex digits in a tenant's name
	tenantLimit           = 1 << 33     // upper bound, exclusive, of a tenant's name as a number
)

// Errors of Parse. Clients receive these texts after -ERR.
var (
	errTenant       = errors.New("the customer is not 16 hex digits") // or the number is not below tenantLimit
	errEmptyID      = errors.New("the id is empty")
	errFieldMissing = errors.New("one of c, t, d, units, spread and first is missing")
	errKeyMissing   = errors.New("k is missing")
)

// argumentCountError reports that a command has too few or too many arguments.
type argumentCountError struct{ command string }

func (err argumentCountError) Error() string {
	return fmt.Sprintf("wrong number of arguments for '%s'", err.command)
}

// duplicateFieldError reports that a field that the gateway reads is given twice.
type duplicateFieldError struct{ field string }

func (err duplicateFieldError) Error() string {
	return printable([]byte(err.field)) + " is given twice"
}

// malformedFieldError reports that a field's value is malformed or out of range.
type malformedFieldError struct{ field string }

func (err malformedFieldError) Error() string {
	return "ill-formed or unknown " + printable([]byte(err.field))
}

// wrongCommandError reports that requests of this class must use the other command.
type wrongCommandError struct{ command string }

func (err wrongCommandError) Error() string { return "class not served by " + err.command }

// Parser parses requests with the names and limits of the settings. It only reads its fields, so it is safe for
// concurrent use.
type Parser struct {
	Settings  *policy.Settings
	Transport *simprotocol.Transport
}

// knownFields lists the fields that the gateway reads. A field's index is its bit in fieldSet.
var knownFields = [...]string{fieldClass, fieldPlan, fieldTimeLeft, fieldKey, fieldRetry, fieldCost, fieldGateways,
	fieldFirstGateway}

// fieldSet is a set of known fields.
type fieldSet uint

// add adds a field, and reports whether it is known and whether the set had it already.
func (set *fieldSet) add(name []byte) (known, duplicate bool) {
	for i, field := range knownFields {
		if string(name) == field {
			bit := fieldSet(1) << i
			duplicate = *set&bit != 0
			*set |= bit
			return true, duplicate
		}
	}
	return false, false
}

// has reports whether the set has a known field.
func (set fieldSet) has(name string) bool { return set&(1<<slices.Index(knownFields[:], name)) != 0 }

// Parse parses a request. command is the command's name in upper case; args are all its arguments, beginning with the
// name as received. The Request refers to args, see Request.Clone. The text of the error can be sent to the client; the
// request must then not be forwarded.
func (parser *Parser) Parse(command string, args [][]byte) (*Request, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, argumentCountError{command}
	}
	if len(args[argumentTenant]) != tenantDigits {
		return nil, errTenant
	}
	tenant, err := strconv.ParseUint(string(args[argumentTenant]), 16, 64)
	if err != nil || tenant >= tenantLimit {
		return nil, errTenant
	}
	if len(args[argumentID]) == 0 {
		return nil, errEmptyID
	}
	request := &Request{args: args, Class: -1, Plan: -1,
		Tenant: strings.ToLower(string(args[argumentTenant]))}
	seen, err := parser.parseFields(request, args[argumentFields])
	if err != nil {
		return nil, err
	}
	if err := parser.validate(request, seen, command); err != nil {
		return nil, err
	}
	return request, nil
}

// parseFields parses the list of fields and returns the known ones among them. A known field that is given twice is an
// error, because a backend might use the other value. It needs neither time nor memory beyond those for one pass over the
// list, however many fields it has.
func (parser *Parser) parseFields(request *Request, list []byte) (seen fieldSet, err error) {
	for at := 0; at <= len(list); {
		item, _, _ := bytes.Cut(list[at:], []byte{','})
		name, value, _ := bytes.Cut(item, []byte{'='})
		known, duplicate := seen.add(name)
		switch {
		case duplicate:
			return seen, duplicateFieldError{string(name)}
		case known && !parser.parseField(request, string(name), value):
			return seen, malformedFieldError{string(name)}
		}
		if string(name) == fieldTimeLeft {
			request.timeLeftStart, request.timeLeftEnd = at+len(fieldTimeLeft+"="), at+len(item)
		}
		at += len(item) + 1
	}
	return seen, nil
}

// parseField parses the value of a known field, and reports whether it is valid.
func (parser *Parser) parseField(request *Request, name string, value []byte) (ok bool) {
	switch name {
	case fieldClass:
		request.Class = indexOf(parser.Transport.Classes, value)
		return request.Class >= 0
	case fieldPlan:
		request.Plan = indexOf(parser.Transport.Plans, value)
		return request.Plan >= 0
	case fieldTimeLeft:
		ms, ok := parseInteger(value)
		request.TimeLeft = time.Duration(ms) * time.Millisecond
		return ok && ms > 0
	case fieldKey:
		return len(value) > 0
	case fieldRetry:
		request.ClientRetry = string(value) == "1"
		return string(value) == "1" || string(value) == "0"
	case fieldCost:
		if len(value) > maxNumberBytes {
			return false
		}
		request.Cost, ok = parseDecimal(string(value))
		return ok && request.Cost > 0 && request.Cost <= cmp.Or(parser.Settings.MaxRequestCost, defaultMaxRequestCost)
	case fieldGateways:
		request.Gateways, ok = parseInteger(value)
		return ok && request.Gateways > 0 && request.Gateways <= parser.Settings.Gateways
	case fieldFirstGateway:
		first, ok := parseInteger(value)
		return ok && first < parser.Settings.Gateways
	}
	return true
}

// indexOf returns the index of a name, or -1 if it is not in the list.
func indexOf(names []string, name []byte) int {
	return slices.IndexFunc(names, func(other string) bool { return string(name) == other })
}

// parseInteger parses a number of up to 31 bits without a sign.
func parseInteger(text []byte) (number int, ok bool) {
	if len(text) > maxNumberBytes {
		return 0, false
	}
	parsed, err := strconv.ParseUint(string(text), 10, 31)
	return int(parsed), err == nil
}

// validate checks a request whose fields are all valid by themselves: no required field may be missing, and the time left,
// the command and the idempotency key must fit the request's class.
func (parser *Parser) validate(request *Request, seen fieldSet, command string) error {
	if request.lacksRequiredField() || !seen.has(fieldFirstGateway) {
		return errFieldMissing
	}
	// Limits the time left, because the request and its timers are kept for that long.
	class := &parser.Settings.Classes[request.Class]
	if class.ClientTimeout > 0 && request.TimeLeft > class.ClientTimeout+timeLeftTolerance {
		return malformedFieldError{fieldTimeLeft}
	}
	switch idempotency := class.Idempotency; {
	case (idempotency == policy.Idempotent) != (command == CommandAsk):
		return wrongCommandError{command}
	case idempotency == policy.IdempotentWithKey && !seen.has(fieldKey):
		return errKeyMissing
	}
	return nil
}
