package simprotocol

import (
	"strconv"
	"time"

	"bellwood/internal/policy"
)

// AppendAction appends an instance's action to b as a line of the protocol.
func AppendAction(b []byte, instance string, action policy.Action) []byte {
	line := lineWriter(b)
	switch action := action.(type) {
	case policy.SendAttempt:
		line.message("HAND_OFF", instance)
		line.id(action.ID)
		line.micros(action.Timeout)
		line.text(action.Backend)
	case policy.Reject:
		line.message("TURN_AWAY", instance)
		line.id(action.ID)
		line.micros(action.RetryAfter)
	case policy.Fail:
		line.message("SURRENDER", instance)
		line.id(action.ID)
	case policy.CancelAttempt:
		line.message("WITHDRAW", instance)
		line.id(action.ID)
		line.integer(int64(action.Attempt))
	case policy.HealthCheck:
		line.message("SAMPLE", instance)
		line.text(action.Backend)
	case policy.AddToCounter:
		line.message("CHARGE_COUNTER", instance)
		line.id(action.Name)
		line.number(action.Amount)
		line.micros(action.TTL)
	case policy.SetTimer:
		line.message("REMIND", instance)
		line.micros(action.At)
		line.id(action.Cookie)
	case policy.WatchEndpoints:
		line.message("OBSERVE", instance)
		line.integer(1)
	case policy.FetchEndpoints:
		line.message("PULL", instance)
	case policy.Log:
		line.message("JOURNAL_LINE", instance)
		line.text(action.Text)
	}
	return append(line, '\n')
}

// lineWriter builds a line: the message's name, the instance and further fields, separated by spaces.
type lineWriter []byte

func (l *lineWriter) message(name, instance string) {
	*l = append(*l, name...)
	l.text(instance)
}

func (l *lineWriter) text(field string) { *l = append(append(*l, ' '), field...) }

func (l *lineWriter) id(id uint64) { *l = strconv.AppendUint(append(*l, ' '), id, 10) }

func (l *lineWriter) integer(n int64) { *l = strconv.AppendInt(append(*l, ' '), n, 10) }

func (l *lineWriter) number(n float64) { *l = strconv.AppendFloat(append(*l, ' '), n, 'f', -1, 64) }

// micros writes a time in whole microseconds, rounded toward zero.
func (l *lineWriter) micros(d time.Duration) { l.integer(d.Microseconds()) }
