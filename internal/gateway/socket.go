package gateway

import (
	"net"
	"syscall"
)

// writeNow writes what the socket takes at once, without waiting, and returns how much that was. Nothing else may be
// writing. It spares a goroutine for each short message.
func writeNow(nc net.Conn, b []byte) (int, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	done := 0
	var failed error
	err = rc.Write(func(fd uintptr) bool {
		for done < len(b) {
			n, err := syscall.Write(int(fd), b[done:])
			if n > 0 {
				done += n
			}
			if err == syscall.EINTR {
				continue
			}
			if err != nil && err != syscall.EAGAIN {
				failed = err
			}
			if err != nil || n <= 0 {
				break
			}
		}
		return true
	})
	if err != nil {
		return done, err
	}
	return done, failed
}

// States of a TCP connection as getsockopt's TCP_INFO gives them in its first byte (linux/tcp.h).
const (
	tcpClose     = 7 // reset
	tcpCloseWait = 8 // the other side has ended it
)

// hungUp says whether the other side has ended the connection, also where what it sent before lies unread. It works
// beside a goroutine that reads. Where the system does not tell, the connection counts as open.
func hungUp(nc net.Conn) bool {
	ended := false
	known, err := peek(nc, func(fd, n int, err error) {
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			ended = true
		default: // the end, if there is one, stands behind these bytes
			info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
			state := info & 0xff
			ended = err == nil && (state == tcpClose || state == tcpCloseWait)
		}
	})
	return known && (ended || err != nil)
}

// quiet says whether the other side has neither sent anything nor ended the connection. It works beside a
// goroutine that reads.
func quiet(nc net.Conn) bool {
	still := false
	known, err := peek(nc, func(_, _ int, err error) {
		still = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return !known || err == nil && still
}

// peek looks at the first byte that lies unread in a socket, without waiting, and hands on how many there were and the
// socket's error. It says whether the connection has a socket that can be looked at, and errs on one that is closed.
func peek(nc net.Conn, seen func(fd, n int, err error)) (known bool, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		seen(int(fd), n, err)
	})
}
