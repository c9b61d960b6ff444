package fleettest

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"syscall"
)

// The ways to ask the kernel for a socket's receive queue, as rows name them.
const (
	bySockDiag    = "sock_diag"
	bySocketTable = "/proc/net/tcp"
)

var errNoSuchSocket = errors.New("no such socket")

// unreadBytes returns how many bytes wait to be read by the process that holds the TCP socket with these two ends. It
// asks the kernel for just that socket, by sock_diag(7); where that can't be, it reads the table of all, which takes
// tens of milliseconds where there are many thousands. method names what it did.
func unreadBytes(local, remote netip.AddrPort) (n int, method string, err error) {
	if n, err = unreadBySockDiag(local, remote); err == nil {
		return n, bySockDiag, nil
	}
	n, err = unreadBySocketTable(local, remote)
	return n, bySocketTable, err
}

// Figures of <linux/sock_diag.h>, <linux/inet_diag.h> and <linux/netlink.h>: sizes and offsets in bytes.
const (
	netlinkSockDiag    = 4
	sockDiagByFamily   = 20
	netlinkHeaderSize  = 16
	diagRequestSize    = 56 // struct inet_diag_req_v2
	diagStates         = 4  // in it
	diagPorts          = 8  // in it
	diagSourceAddr     = 12 // in it
	diagPeerAddr       = 28 // in it
	diagCookie         = 48 // in it
	diagReplyPorts     = 4  // in struct inet_diag_msg
	diagReceiveQueue   = 56 // in it
	portSize           = 2
	anyState           = 0xffffffff
	anyCookie          = 0xffffffffffffffff
	sockDiagTimeoutSec = 1
)

// unreadBySockDiag asks the kernel for one socket.
func unreadBySockDiag(local, remote netip.AddrPort) (int, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	timeout := &syscall.Timeval{Sec: sockDiagTimeoutSec}
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, timeout); err != nil {
		return 0, err
	}
	request := sockDiagRequest(local, remote)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	reply := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, err
	}
	if n < netlinkHeaderSize+diagReceiveQueue+4 || binary.NativeEndian.Uint16(reply[4:]) != sockDiagByFamily {
		return 0, errors.New("sock_diag: no such socket, or no answer of use")
	}
	wantPorts := request[netlinkHeaderSize+diagPorts:][:portSize+portSize]
	if !bytes.Equal(reply[netlinkHeaderSize+diagReplyPorts:][:len(wantPorts)], wantPorts) { // a listener on the same port
		return 0, fmt.Errorf("sock_diag: %w", errNoSuchSocket)
	}
	return int(binary.NativeEndian.Uint32(reply[netlinkHeaderSize+diagReceiveQueue:])), nil
}

// sockDiagRequest is the netlink message that asks for the socket with these two ends.
func sockDiagRequest(local, remote netip.AddrPort) []byte {
	message := make([]byte, netlinkHeaderSize+diagRequestSize)
	native := binary.NativeEndian
	native.PutUint32(message, uint32(len(message)))
	native.PutUint16(message[4:], sockDiagByFamily)
	native.PutUint16(message[6:], syscall.NLM_F_REQUEST)
	request := message[netlinkHeaderSize:]
	request[0], request[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	native.PutUint32(request[diagStates:], anyState)
	binary.BigEndian.PutUint16(request[diagPorts:], local.Port())
	binary.BigEndian.PutUint16(request[diagPorts+portSize:], remote.Port())
	source, destination := local.Addr().Unmap().As4(), remote.Addr().Unmap().As4()
	copy(request[diagSourceAddr:], source[:])
	copy(request[diagPeerAddr:], destination[:])
	native.PutUint64(request[diagCookie:], anyCookie)
	return message
}

// unreadBySocketTable finds the socket in /proc/net/tcp, see proc(5).
func unreadBySocketTable(local, remote netip.AddrPort) (int, error) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer table.Close()
	ends := socketTableAddr(local) + " " + socketTableAddr(remote) + " "
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), ends)
		if !ok {
			continue
		}
		var state, sendQueue, receiveQueue int
		if _, err := fmt.Sscanf(rest, "%x %x:%x", &state, &sendQueue, &receiveQueue); err != nil {
			return 0, fmt.Errorf("/proc/net/tcp: %q: %w", lines.Text(), err)
		}
		return receiveQueue, nil
	}
	if err := lines.Err(); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("/proc/net/tcp: %w", errNoSuchSocket)
}

// socketTableAddr writes an IPv4 address and port as /proc/net/tcp does, the address in the computer's order of bytes.
func socketTableAddr(addr netip.AddrPort) string {
	ip := addr.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addr.Port())
}
