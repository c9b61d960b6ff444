package gateway

import (
	"slices"
	"time"
)

// backendPool has what is known of one backend's address, and its connections. The loop owns it.
type backendPool struct {
	name, addr  string
	processStartedAt   time.Duration // of the process at addr, as discovery gives it (Unix time)
	generation  int           // how often addr or startedAt has changed
	inService   bool
	conns       map[*backendConn]bool // all, those being dialed too
	idle        []*backendConn        // the one used last at the end
	lastReplyAt time.Duration         // on the loop's clock
}

func newBackendPool(name string) *backendPool {
	return &backendPool{name: name, conns: map[*backendConn]bool{}}
}

// updateProcess takes the address and the start that discovery gives, and says whether the process changed. The connections that
// are there lead to the old one: what is idle or being dialed has to be closed by the caller, what is busy is closed at
// its reply, as its generation is not the pool's (TestBusyConnectionOfAnOldAddressIsNotKept).
func (pool *backendPool) updateProcess(addr string, startedAt time.Duration) bool {
	if pool.addr == addr && pool.processStartedAt == startedAt {
		return false
	}
	pool.addr, pool.processStartedAt = addr, startedAt
	pool.generation++
	return true
}

// removeIdleAt takes the i-th idle connection out of those that wait to be used.
func (pool *backendPool) removeIdleAt(i int) { pool.idle = slices.Delete(pool.idle, i, i+1) }

// removeIdle takes a connection out of those that wait to be used, if it is among them.
func (pool *backendPool) removeIdle(conn *backendConn) {
	pool.idle = slices.DeleteFunc(pool.idle, func(other *backendConn) bool { return other == conn })
}
