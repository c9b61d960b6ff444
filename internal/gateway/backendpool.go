package gateway

import (
	"slices"
	"time"
)

// backendPool holds the address of one backend and the connections to it. It is owned by the event loop.
type backendPool struct {
	name, addr       string
	processStartedAt time.Duration // start of the process at addr, as reported by discovery (Unix time)
	generation       int           // incremented when addr or processStartedAt changes
	inService        bool
	conns            map[*backendConn]bool // all connections, including those being dialed
	idle             []*backendConn        // least recently used first
	lastReplyAt      time.Duration         // on the event loop's clock
}

func newBackendPool(name string) *backendPool {
	return &backendPool{name: name, conns: map[*backendConn]bool{}}
}

// updateProcess sets the address and start time of the backend's process, and reports whether either changed. If so, the
// existing connections lead to the old process. The caller must close those that are idle or being dialed. Busy ones are
// closed when their reply arrives, because their generation differs from the pool's
// (TestConnectionsToOldAddressAreClosed).
func (pool *backendPool) updateProcess(addr string, startedAt time.Duration) bool {
	if pool.addr == addr && pool.processStartedAt == startedAt {
		return false
	}
	pool.addr, pool.processStartedAt = addr, startedAt
	pool.generation++
	return true
}

// removeIdleAt removes the i-th connection from the idle list.
func (pool *backendPool) removeIdleAt(i int) { pool.idle = slices.Delete(pool.idle, i, i+1) }

// removeIdle removes a connection from the idle list, if it is in it.
func (pool *backendPool) removeIdle(conn *backendConn) {
	pool.idle = slices.DeleteFunc(pool.idle, func(other *backendConn) bool { return other == conn })
}
