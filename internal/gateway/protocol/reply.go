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
	metricCost       = "cost=" // true cost of the request; see policy.Settings.CostSettledOnResponse
)

// maxQuotaUsage, in percent, is the upper bound of plausible usage; a report at or above it is ignored.
const maxQuotaUsage = 1e6

// Reply is a backend's reply to one command.
type Reply struct {
	Status        policy.Status
	Value         []byte  // an encoded bulk string, passed on to the client as it is
	QuotaUsage    int     // 1 + percentage of the tenant's quota in use; 0 if not reported
	Cost          float64 // in units; 0 if not reported
	Unexpected    bool    // it is not a valid reply to a request
	SimpleString  bool    // it is a simple string; any simple string counts as the reply to a health check
	TrailingBytes bool    // more bytes followed it
}

// ReadReply interprets a message of a backend as a reply. A reply is either an array of the value, the metrics and the
// load report, or an error line whose first word may be followed by metrics.
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

// readErrorReply interprets an error line.
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

// readValueReply interprets an array. Its third item, the load report, is ignored.
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

// quotaUsage returns the quota usage from a list of metrics in the form that policy expects: the percentage plus 1, or 0
// if it is not reported.
func quotaUsage(metrics []byte) int {
	if percent, ok := findMetric(metrics, metricQuotaUsage); ok && percent < maxQuotaUsage {
		return int(percent) + 1
	}
	return 0
}

// findMetric returns the first valid value of a metric in a list of metrics. The name ends with "=".
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

// parseDecimal parses a number in plain decimal notation. It rejects the other notations that strconv accepts, such as
// signs, exponents and hexadecimal, because a backend may interpret them differently.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}
