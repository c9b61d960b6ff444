package protocol

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
)

// Names of the metrics that a backend reports with a reply, in a list such as used=37,cost=4.
const (
	metricQuotaUsage = "used=" // percent of the tenant's quota
	metricCost       = "cost=" // of the request, where it is settled on the response
)

// maxQuotaUsage, in percent, is the bound from which on a reported usage is not believed.
const maxQuotaUsage = 1e6

// Reply is what a backend sent for one command.
type Reply struct {
	Status        policy.Status
	Value         []byte  // as a bulk string, to be passed on
	QuotaUsage    int     // 1 + percent of the quota used; 0: not reported
	Cost          float64 // in units; 0: not reported
	Unexpected    bool    // it is no reply to a request
	SimpleString  bool    // it is a simple string; any is taken for the reply to a health check
	TrailingBytes bool    // more bytes came behind it
}

// ReadReply reads a reply: an array of the value, the metrics and the load report, or an error line with the metrics
// behind its first word.
func ReadReply(message redcon.RESP) Reply {
	switch message.Type {
	case redcon.Error:
		return readErrorReply(message.Data)
	case redcon.String:
		return Reply{Status: policy.OK, Unexpected: true, SimpleString: true}
	case redcon.Array:
		return readValueReply(message)
	}
	return Reply{Status: policy.Failed, Unexpected: true}
}

// readErrorReply reads the line of an error.
func readErrorReply(line []byte) Reply {
	reply := Reply{Status: policy.Failed}
	switch word, _, _ := bytes.Cut(line, []byte{' '}); string(word) {
	case "BUSY":
		reply.Status = policy.Rejected
	case "ERR":
	default:
		reply.Unexpected = true
	}
	for word := range bytes.SplitSeq(line, []byte{' '}) {
		if usage := quotaUsage(word); usage > 0 {
			reply.QuotaUsage = usage
		}
	}
	return reply
}

// readValueReply reads an array. The load report, the third item, is not used.
func readValueReply(message redcon.RESP) Reply {
	reply := Reply{Status: policy.Failed, Unexpected: true}
	i := 0
	message.ForEach(func(item redcon.RESP) bool {
		if i == 0 && item.Type == redcon.Bulk && item.Data != nil {
			reply.Status, reply.Unexpected, reply.Value = policy.OK, false, bytes.Clone(item.Raw)
		} else if i == 1 && item.Type == redcon.Bulk {
			reply.QuotaUsage = quotaUsage(item.Data)
			reply.Cost, _ = findMetric(item.Data, metricCost)
		}
		i++
		return true
	})
	return reply
}

// quotaUsage finds the usage in a list of metrics, as the engine wants it: 1 more than the percent; 0: there is none.
func quotaUsage(metrics []byte) int {
	if percent, ok := findMetric(metrics, metricQuotaUsage); ok && percent < maxQuotaUsage {
		return int(percent) + 1
	}
	return 0
}

// findMetric finds the first number of a name in a list of metrics.
func findMetric(metrics []byte, name string) (float64, bool) {
	for item := range bytes.SplitSeq(metrics, []byte{','}) {
		if text, ok := bytes.CutPrefix(item, []byte(name)); ok {
			if value, ok := parseDecimal(string(text)); ok {
				return value, true
			}
		}
	}
	return 0, false
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
