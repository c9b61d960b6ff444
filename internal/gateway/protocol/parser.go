package protocol

import (
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
	typicalFieldCount     = 16          // field names up to this number need no allocation
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

// duplicateFieldError reports that a field is given twice.
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

// seenFields records which fields a request contains, as far as the Request itself does not show it.
type seenFields struct {
	names            []string
	hasKey, hasFirst bool
}

// Parse parses a request. command is the command's name in upper case; args are all its arguments, beginning with the
// name as received. The Request keeps args. The text of the error can be sent to the client; the request must then not be
// forwarded.
func (parser *Parser) Parse(command string, args [][]byte) (*Request, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, argumentCountError{command}
	}
	tenant, err := strconv.ParseUint(string(args[argumentTenant]), 16, 64)
	if err != nil || len(args[argumentTenant]) != tenantDigits || tenant >= tenantLimit {
		return nil, errTenant
	}
	if len(args[argumentID]) == 0 {
		return nil, errEmptyID
	}
	request := &Request{args: args, Class: -1, Plan: -1,
		Tenant: strings.ToLower(string(args[argumentTenant]))}
	var names [typicalFieldCount]string
	seen := seenFields{names: names[:0]}
	if err := parser.parseFields(request, &seen, string(args[argumentFields])); err != nil {
		return nil, err
	}
	if err := parser.validate(request, seen, command); err != nil {
		return nil, err
	}
	return request, nil
}

// parseFields parses the list of fields. A duplicate field is an error, because a backend might use the other value.
func (parser *Parser) parseFields(request *Request, seen *seenFields, list string) error {
	for at := 0; at <= len(list); {
		item, _, _ := strings.Cut(list[at:], ",")
		name, value, _ := strings.Cut(item, "=")
		if slices.Contains(seen.names, name) {
			return duplicateFieldError{name}
		}
		seen.names = append(seen.names, name)
		if !parser.parseField(request, seen, name, value) {
			return malformedFieldError{name}
		}
		if name == fieldTimeLeft {
			request.timeLeftStart, request.timeLeftEnd = at+len(fieldTimeLeft+"="), at+len(item)
		}
		at += len(item) + 1
	}
	return nil
}

// parseField parses one field, and reports whether its value is valid. It accepts any value of an unknown field.
func (parser *Parser) parseField(request *Request, seen *seenFields, name, value string) (ok bool) {
	switch name {
	case fieldClass:
		request.Class = slices.Index(parser.Transport.Classes, value)
		return request.Class >= 0
	case fieldPlan:
		request.Plan = slices.Index(parser.Transport.Plans, value)
		return request.Plan >= 0
	case fieldTimeLeft:
		ms, err := strconv.ParseUint(value, 10, 31)
		request.TimeLeft = time.Duration(ms) * time.Millisecond
		return err == nil && ms > 0
	case fieldKey:
		seen.hasKey = true
		return value != ""
	case fieldRetry:
		request.ClientRetry = value == "1"
		return value == "1" || value == "0"
	case fieldCost:
		request.Cost, ok = parseDecimal(value)
		return ok && request.Cost > 0 && request.Cost <= cmp.Or(parser.Settings.MaxRequestCost, defaultMaxRequestCost)
	case fieldGateways:
		gateways, err := strconv.ParseUint(value, 10, 31)
		request.Gateways = int(gateways)
		return err == nil && gateways > 0 && int(gateways) <= parser.Settings.Gateways
	case fieldFirstGateway:
		seen.hasFirst = true
		first, err := strconv.ParseUint(value, 10, 31)
		return err == nil && int(first) < parser.Settings.Gateways
	}
	return true
}

// validate checks a request whose fields are all valid by themselves: no required field may be missing, and the time left,
// the command and the idempotency key must fit the request's class.
func (parser *Parser) validate(request *Request, seen seenFields, command string) error {
	if request.lacksRequiredField() || !seen.hasFirst {
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
	case idempotency == policy.IdempotentWithKey && !seen.hasKey:
		return errKeyMissing
	}
	return nil
}
