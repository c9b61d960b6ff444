package gateway

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

// Commands of the clients' protocol (PROTOCOL), in upper case.
const (
	commandPing = "PING"
	commandAsk  = "Q.ASK" // for classes whose requests are idempotent
	commandDo   = "Q.DO"  // for the other classes
)

// Names of a request's fields on the wire. Others are passed on to the backend.
const (
	fieldClass        = "c"
	fieldPlan         = "t"
	fieldTimeLeft     = "d" // how long the client waits, in ms
	fieldKey          = "k" // the idempotency key
	fieldRetry        = "r" // 1: the client sends the request again
	fieldCost         = "units"
	fieldGateways     = "spread" // over how many gateways the tenant's requests are spread ...
	fieldFirstGateway = "first"  // ... from which one on
)

const (
	timeLeftTolerance     = time.Second // by which a client may say it waits longer than its class's time
	defaultMaxRequestCost = 1e9         // units of a request, where the settings do not say
	usualFields           = 16          // of a request: for these no memory is taken
	tenantDigits          = 16          // hex digits of a tenant's name
	maxTenant             = 1 << 33     // names of tenants are below
)

// What is wrong with a request; clients get these texts behind -ERR.
var (
	errTenant       = errors.New("the customer is not 16 hex digits")
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

// requestParser reads requests by the settings' names and limits. It is safe for concurrent use: it only reads them.
type requestParser struct {
	settings  *policy.Settings
	transport *simprotocol.Transport
}

// givenFields says which fields of a request were given, beside those that a clientRequest keeps.
type givenFields struct {
	names            []string
	hasKey, hasFirst bool
}

// parse reads a request that came as a command of so many arguments at a time. What it can't read goes nowhere.
func (parser *requestParser) parse(command string, args [][]byte, now time.Duration) (*clientRequest, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, argumentCountError{command}
	}
	tenant, err := strconv.ParseUint(string(args[argumentTenant]), 16, 64)
	if err != nil || len(args[argumentTenant]) != tenantDigits || tenant >= maxTenant {
		return nil, errTenant
	}
	if len(args[argumentID]) == 0 {
		return nil, errEmptyID
	}
	request := &clientRequest{arrivedAt: now, args: args, class: -1, plan: -1,
		tenant: strings.ToLower(string(args[argumentTenant]))}
	var names [usualFields]string
	given := givenFields{names: names[:0]}
	if err := parser.parseFields(request, &given, string(args[argumentFields])); err != nil {
		return nil, err
	}
	if err := parser.check(request, given, command); err != nil {
		return nil, err
	}
	return request, nil
}

// parseFields reads the list of fields. One that is given twice is an error, as a backend may read the other one.
func (parser *requestParser) parseFields(request *clientRequest, given *givenFields, list string) error {
	for at := 0; at <= len(list); {
		item, _, _ := strings.Cut(list[at:], ",")
		name, value, _ := strings.Cut(item, "=")
		if slices.Contains(given.names, name) {
			return duplicateFieldError{name}
		}
		given.names = append(given.names, name)
		if !parser.parseField(request, given, name, value) {
			return malformedFieldError{name}
		}
		if name == fieldTimeLeft {
			request.timeLeftFrom, request.timeLeftTo = at+len(fieldTimeLeft+"="), at+len(item)
		}
		at += len(item) + 1
	}
	return nil
}

// parseField reads one field and says whether its value can be used.
func (parser *requestParser) parseField(request *clientRequest, given *givenFields, name, value string) (ok bool) {
	switch name {
	case fieldClass:
		request.class = slices.Index(parser.transport.Classes, value)
		return request.class >= 0
	case fieldPlan:
		request.plan = slices.Index(parser.transport.Plans, value)
		return request.plan >= 0
	case fieldTimeLeft:
		ms, err := strconv.ParseUint(value, 10, 31)
		request.timeLeft = time.Duration(ms) * time.Millisecond
		return err == nil && ms > 0
	case fieldKey:
		given.hasKey = true
		return value != ""
	case fieldRetry:
		request.clientRetry = value == "1"
		return value == "1" || value == "0"
	case fieldCost:
		request.cost, ok = parseDecimal(value)
		return ok && request.cost > 0 && request.cost <= cmp.Or(parser.settings.MaxRequestCost, defaultMaxRequestCost)
	case fieldGateways:
		gateways, err := strconv.ParseUint(value, 10, 31)
		request.gateways = int(gateways)
		return err == nil && gateways > 0 && int(gateways) <= parser.settings.Gateways
	case fieldFirstGateway:
		given.hasFirst = true
		first, err := strconv.ParseUint(value, 10, 31)
		return err == nil && int(first) < parser.settings.Gateways
	}
	return true
}

// check says what is wrong with a request whose fields can all be read.
func (parser *requestParser) check(request *clientRequest, given givenFields, command string) error {
	if request.lacksField() || !given.hasFirst {
		return errFieldMissing
	}
	// A request and its timers are kept for as long as the client says that it waits.
	class := &parser.settings.Classes[request.class]
	if class.ClientTimeout > 0 && request.timeLeft > class.ClientTimeout+timeLeftTolerance {
		return malformedFieldError{fieldTimeLeft}
	}
	switch idempotency := class.Idempotency; {
	case (idempotency == policy.Idempotent) != (command == commandAsk):
		return wrongCommandError{command}
	case idempotency == policy.IdempotentWithKey && !given.hasKey:
		return errKeyMissing
	}
	return nil
}

// lacksField says whether a field that every request needs was not given.
func (request *clientRequest) lacksField() bool {
	return request.class < 0 || request.plan < 0 || request.timeLeft == 0 || request.cost == 0 || request.gateways == 0
}

// parseDecimal reads a number in plain digits. What the standard library takes besides, such as signs, exponents and
// hex, a backend may read otherwise.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// printable makes what a client sent fit for an error line.
func printable(text []byte) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char > '~' {
			return '?'
		}
		return char
	}, string(text))
}
