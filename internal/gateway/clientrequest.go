package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
)

const (
	timeLeftTolerance     = time.Second // that a client may say it waits longer than its class's time
	defaultMaxRequestCost = 1e9         // of a request, where the settings do not say
)

// clientRequest is a client's request as its connection read it.
type clientRequest struct {
	conn         *clientConn
	reply        *pendingReply
	requestID    uint64        // the loop's
	arrivedAt    time.Duration // when its last byte was read
	timeLeft     time.Duration // how long the client waits from then on
	class, plan  int
	tenant       string
	cost         float64
	gateways     int
	clientRetry  bool
	args         [][]byte // the command as it came
	fieldList    int      // the argument that holds names and values
	timeLeftFrom int      // where the figure of d stands in it ...
	timeLeftTo   int      // ... and ends
}

// arguments returns a copy of the bulk strings of a command.
func arguments(m redcon.RESP) ([][]byte, bool) {
	if m.Type != redcon.Array || m.Count < 1 {
		return nil, false
	}
	raw := bytes.Clone(m.Data)
	args := make([][]byte, 0, m.Count)
	for range m.Count {
		n, e := redcon.ReadNextRESP(raw)
		if e.Type != redcon.Bulk || e.Data == nil {
			return nil, false
		}
		args = append(args, e.Data)
		raw = raw[n:]
	}
	return args, true
}

// printable makes what a client sent fit for an error line.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b))
}

// givenFields says which fields of a request's list were given, beside those that an ask keeps.
type givenFields struct {
	names            []string
	hasKey, hasFirst bool
}

// parse reads a request. What it can't read goes nowhere.
func (server *Server) parse(name string, args [][]byte) (*clientRequest, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, fmt.Errorf("wrong number of arguments for '%s'", name)
	}
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil || len(args[1]) != 16 || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits")
	}
	if len(args[2]) == 0 {
		return nil, errors.New("the id is empty")
	}
	request := &clientRequest{arrivedAt: server.now(), args: args, fieldList: 3, class: -1, plan: -1, tenant: strings.ToLower(string(args[1]))}
	var names [16]string
	given := givenFields{names: names[:0]}
	for at, list := 0, string(args[request.fieldList]); at <= len(list); {
		item, _, _ := strings.Cut(list[at:], ",")
		key, value, _ := strings.Cut(item, "=")
		if slices.Contains(given.names, key) { // a backend may read the other one
			return nil, fmt.Errorf("%s is given twice", printable([]byte(key)))
		}
		given.names = append(given.names, key)
		if !server.parseField(request, &given, key, value) {
			return nil, fmt.Errorf("ill-formed or unknown %s", printable([]byte(key)))
		}
		if key == "d" {
			request.timeLeftFrom, request.timeLeftTo = at+len("d="), at+len(item)
		}
		at += len(item) + 1
	}
	if err := server.check(request, given, name); err != nil {
		return nil, err
	}
	return request, nil
}

// parseField reads one field of the list. Unknown ones are passed on.
func (server *Server) parseField(request *clientRequest, given *givenFields, key, value string) (ok bool) {
	switch key {
	case "c":
		request.class = index(server.cfg.Transport.Classes, value)
		return request.class >= 0
	case "t":
		request.plan = index(server.cfg.Transport.Plans, value)
		return request.plan >= 0
	case "d":
		ms, err := strconv.ParseUint(value, 10, 31)
		request.timeLeft = time.Duration(ms) * time.Millisecond
		return err == nil && ms > 0
	case "k":
		given.hasKey = true
		return value != ""
	case "r":
		request.clientRetry = value == "1"
		return value == "1" || value == "0"
	case "units":
		request.cost, ok = parseDecimal(value)
		return ok && request.cost > 0 && request.cost <= cmp.Or(server.cfg.Settings.MaxRequestCost, defaultMaxRequestCost)
	case "spread":
		n, err := strconv.ParseUint(value, 10, 31)
		request.gateways = int(n)
		return err == nil && n > 0 && int(n) <= server.cfg.Settings.Gateways
	case "first":
		given.hasFirst = true
		n, err := strconv.ParseUint(value, 10, 31)
		return err == nil && int(n) < server.cfg.Settings.Gateways
	}
	return true
}

// check says what is wrong with a request whose fields can all be read.
func (server *Server) check(request *clientRequest, given givenFields, name string) error {
	if request.class < 0 || request.plan < 0 || request.timeLeft == 0 || request.cost == 0 || request.gateways == 0 || !given.hasFirst {
		return errors.New("one of c, t, d, units, spread and first is missing")
	}
	// A request and its timers are kept for as long as the client says that it waits.
	class := &server.cfg.Settings.Classes[request.class]
	if class.ClientTimeout > 0 && request.timeLeft > class.ClientTimeout+timeLeftTolerance {
		return errors.New("ill-formed or unknown d")
	}
	switch effect := class.Idempotency; {
	case (effect == policy.Idempotent) != (name == "Q.ASK"):
		return fmt.Errorf("class not served by %s", name)
	case effect == policy.IdempotentWithKey && !given.hasKey:
		return errors.New("k is missing")
	}
	return nil
}

// parseDecimal reads a number in plain digits. What the standard library takes besides, such as signs, exponents and hex,
// a backend may read otherwise.
func parseDecimal(s string) (float64, bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// forward is the command for a backend: as it came but for d, which tells how long this front door will wait.
func (request *clientRequest) forward(wait time.Duration) []byte {
	b := redcon.AppendArray(nil, len(request.args))
	for i, arg := range request.args {
		if i == request.fieldList {
			list := append([]byte(nil), arg[:request.timeLeftFrom]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			arg = append(list, arg[request.timeLeftTo:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}
