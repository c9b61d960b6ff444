// Package rawsocket inspects and writes to TCP sockets directly, without blocking, while another goroutine may be reading
// from the same connection. Connections without an operating system socket, as some tests use, are treated as open and
// without input, and WriteAvailable writes nothing to them.
package rawsocket

import (
	"net"
	"syscall"
)

// WriteAvailable writes as much as the socket accepts without waiting, and returns the number of bytes written. It avoids
// a goroutine for each short message. No other goroutine may be writing to the connection.
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
		return true // do not wait until the socket is writable
	})
	if err != nil {
		return written, err
	}
	return written, writeErr
}

// writeUntilFull writes until all data is written, the socket's send buffer is full, or an error occurs.
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

// States of a TCP connection, from the first byte of getsockopt's TCP_INFO (linux/tcp.h).
const (
	tcpClose     = 7 // the connection was reset
	tcpCloseWait = 8 // the peer has closed the connection
)

// PeerClosed reports whether the peer has closed or reset the connection, even if data that it sent before is still
// unread. If the system does not provide the state, the connection counts as open. A connection that is closed on this
// side counts as closed.
func PeerClosed(conn net.Conn) bool {
	closed := false
	known, err := peek(conn, func(fd, n int, err error) {
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			closed = true
		default: // unread data precedes the end of the stream, so ask for the TCP state
			info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
			state := info & 0xff
			closed = err == nil && (state == tcpClose || state == tcpCloseWait)
		}
	})
	return known && (closed || err != nil)
}

// ReadWouldBlock reports whether the socket holds no unread data and neither side has closed the connection.
func ReadWouldBlock(conn net.Conn) bool {
	wouldBlock := false
	known, err := peek(conn, func(_, _ int, err error) {
		wouldBlock = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return !known || err == nil && wouldBlock
}

// peek tries to read one byte from the socket without removing it and without waiting, and passes the number of bytes and
// the error to result. known is false if the connection has no operating system socket; err is set if the connection is
// closed on this side.
func peek(conn net.Conn, result func(fd, n int, err error)) (known bool, err error) {
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
		result(int(fd), n, err)
	})
}
