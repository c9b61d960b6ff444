package gateway

import (
	"bytes"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
)

// Names of the figures that a backend reports with a reply, in a list such as used=37,cost=4.
const (
	figureQuotaUsage = "used=" // percent of the tenant's quota
	figureCost       = "cost=" // of the request, where it is settled on the response
)

// maxQuotaUsage in percent: what is not below it is not believed.
const maxQuotaUsage = 1e6

// backendReply is what a backend sent for one command.
type backendReply struct {
	status        policy.Status
	value         []byte  // as a bulk string, to be passed on
	quotaUsage    int     // 1 + percent of the quota used; 0: not reported
	cost          float64 // in units; 0: not reported
	unexpected    bool    // it is not what a backend answers to a request
	pong          bool    // it is what a backend answers to a health check
	trailingBytes bool    // more bytes came behind it
}

// readReply reads an answer: an array of the value, the figures on use and the load report, or an error line behind
// whose first word the figures may stand.
func readReply(message redcon.RESP) backendReply {
	switch message.Type {
	case redcon.Error:
		return readErrorReply(message.Data)
	case redcon.String:
		return backendReply{status: policy.OK, unexpected: true, pong: true}
	case redcon.Array:
		return readValueReply(message)
	}
	return backendReply{status: policy.Failed, unexpected: true}
}

// readErrorReply reads the line of an error.
func readErrorReply(line []byte) backendReply {
	reply := backendReply{status: policy.Failed}
	switch word, _, _ := bytes.Cut(line, []byte{' '}); string(word) {
	case "BUSY":
		reply.status = policy.Rejected
	case "ERR":
	default:
		reply.unexpected = true
	}
	for word := range bytes.SplitSeq(line, []byte{' '}) {
		if usage := quotaUsage(word); usage > 0 {
			reply.quotaUsage = usage
		}
	}
	return reply
}

// readValueReply reads an array. The load report, the third item, is not used.
func readValueReply(message redcon.RESP) backendReply {
	reply := backendReply{status: policy.Failed, unexpected: true}
	i := 0
	message.ForEach(func(item redcon.RESP) bool {
		if i == 0 && item.Type == redcon.Bulk && item.Data != nil {
			reply.status, reply.unexpected, reply.value = policy.OK, false, bytes.Clone(item.Raw)
		} else if i == 1 && item.Type == redcon.Bulk {
			reply.quotaUsage = quotaUsage(item.Data)
			reply.cost, _ = findFigure(item.Data, figureCost)
		}
		i++
		return true
	})
	return reply
}

// quotaUsage finds the usage in a list of figures, as the engine wants it: 1 more than the percent; 0: there is none.
func quotaUsage(figures []byte) int {
	if percent, ok := findFigure(figures, figureQuotaUsage); ok && percent < maxQuotaUsage {
		return int(percent) + 1
	}
	return 0
}

// findFigure finds the first number of a name in a list of figures.
func findFigure(figures []byte, name string) (float64, bool) {
	for item := range bytes.SplitSeq(figures, []byte{','}) {
		if text, ok := bytes.CutPrefix(item, []byte(name)); ok {
			if figure, ok := parseDecimal(string(text)); ok {
				return figure, true
			}
		}
	}
	return 0, false
}
