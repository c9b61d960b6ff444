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

// Names of a request's fields on the wire. Others are passed on to the backend.
const (
	fieldClass        = "c"
	fieldPlan         = "t"
	fieldTimeLeft     = "d" // how long the client waits, in ms
	fieldKey          = "k" // the idempotency key
	fieldRetry        = "r" // 1: the client sends the request again
	fieldCost         = "units"
	fieldGateways     = "spread" // over how many gateways the tenant's requests are spread
	fieldFirstGateway = "first"  // the index of the first of these
)

const (
	timeLeftTolerance     = time.Second // by which a client may say it waits longer than its class's time
	defaultMaxRequestCost = 1e9         // units of a request, where the settings do not say
	typicalFieldCount     = 16          // names of so many fields are kept without an allocation
	tenantDigits          = 16          // hex digits of a tenant's name
	tenantLimit           = 1 << 33     // names of tenants, as numbers, are below this
)

// What is wrong with a request; clients get these texts behind -ERR.
var (
	errTenant       = errors.New("the customer is not 16 hex digits") // or they are not below tenantLimit
	errEmptyID      = errors.New("the id is empty")
	errFieldMissing = errors.New("one of c, t, d, units, spread and first is missing")
	errKeyMissing   = errors.New("k is missing")
)

// argumentCountError says that a command has too few or too many arguments.
type argumentCountError struct{ command string }

func (err argumentCountError) Error() string {
	return fmt.Sprintf("wrong number of arguments for '%s'", err.command)
}

// duplicateFieldError says that a field is given twice.
type duplicateFieldError struct{ field string }

func (err duplicateFieldError) Error() string {
	return printable([]byte(err.field)) + " is given twice"
}

// malformedFieldError says that a field's value can't be read, or is outside its limits.
type malformedFieldError struct{ field string }

func (err malformedFieldError) Error() string {
	return "ill-formed or unknown " + printable([]byte(err.field))
}

// wrongCommandError says that a request of its class does not come by this command.
type wrongCommandError struct{ command string }

func (err wrongCommandError) Error() string { return "class not served by " + err.command }

// Parser reads requests by the settings' names and limits. It is safe for concurrent use: it only reads them.
type Parser struct {
	Settings  *policy.Settings
	Transport *simprotocol.Transport
}

// seenFields says which fields of a request were given, beside those that a Request keeps.
type seenFields struct {
	names            []string
	hasKey, hasFirst bool
}

// Parse reads a request that came by a command, whose name is given in upper case, with its arguments, the name among
// them. The request keeps the arguments. The error's text is fit for the client. A request that can't be read is not forwarded.
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

// parseFields reads the list of fields. One that is given twice is an error, as a backend may read the other one.
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

// parseField reads one field and says whether its value can be used.
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

// validate says what is wrong with a request whose fields can all be read.
func (parser *Parser) validate(request *Request, seen seenFields, command string) error {
	if request.missesRequiredField() || !seen.hasFirst {
		return errFieldMissing
	}
	// A request and its timers are kept for as long as the client says that it waits.
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
