// Package rawsocket asks and writes a TCP socket directly, without waiting and beside a goroutine that reads from the
// same connection. Connections that have no socket of the operating system (those of tests) are taken as open and
// quiet, and WriteAvailable writes nothing to them.
package rawsocket

import (
	"net"
	"syscall"
)

// WriteAvailable writes what the socket takes at once, without waiting, and returns how many bytes that was. It spares
// a goroutine for each short message. Nothing else may be writing to the connection.
func WriteAvailable(conn net.Conn, data []byte) (int, error) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	written := 0
	var writeErr error
	err = rawConn.Write(func(fd uintptr) bool {
		written, writeErr = writeUntilFull(int(fd), data)
		return true // never wait
	})
	if err != nil {
		return written, err
	}
	return written, writeErr
}

// writeUntilFull writes until all is written, the socket takes no more, or it fails.
func writeUntilFull(fd int, data []byte) (written int, failure error) {
	for written < len(data) {
		n, err := syscall.Write(fd, data[written:])
		if n > 0 {
			written += n
		}
		if err == syscall.EINTR {
			continue
		}
		if err != nil && err != syscall.EAGAIN {
			failure = err
		}
		if err != nil || n <= 0 {
			break
		}
	}
	return written, failure
}

// States of a TCP connection as getsockopt's TCP_INFO gives them in its first byte (linux/tcp.h).
const (
	tcpClose     = 7 // reset
	tcpCloseWait = 8 // the other side has ended it
)

// PeerClosed says whether the other side has ended the connection, also where what it sent before lies unread. Where the
// system does not tell, the connection counts as open; one that is closed on this side counts as ended.
func PeerClosed(conn net.Conn) bool {
	ended := false
	known, err := peek(conn, func(fd, n int, err error) {
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

// Quiet says whether the other side has neither sent anything that lies unread nor ended the connection.
func Quiet(conn net.Conn) bool {
	quiet := false
	known, err := peek(conn, func(_, _ int, err error) {
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return !known || err == nil && quiet
}

// peek looks at the first byte that lies unread in a socket, without waiting, and hands on how many there were and the
// socket's error. It says whether the connection has a socket that can be looked at, and errs on one that is closed.
func peek(conn net.Conn, seen func(fd, n int, err error)) (known bool, err error) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, rawConn.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		seen(int(fd), n, err)
	})
}
