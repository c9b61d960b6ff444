package gateway

import "sync/atomic"

// byteBudget bounds the bytes that all clients together make the front door hold.
type byteBudget struct {
	limit int64
	held  atomic.Int64
}

func newByteBudget(most int64) *byteBudget { return &byteBudget{limit: most} }

// Reserve holds so many more bytes if that stays within the bound.
func (budget *byteBudget) Reserve(n int64) bool {
	if budget.held.Add(n) > budget.limit {
		budget.held.Add(-n)
		return false
	}
	return true
}

// adjust holds more or fewer bytes, whatever the bound.
func (budget *byteBudget) adjust(n int64) { budget.held.Add(n) }

func (budget *byteBudget) Release(n int64) { budget.held.Add(-n) }

func (budget *byteBudget) exceeded() bool { return budget.held.Load() > budget.limit }
