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

// The methods of reading the size of a socket's receive queue, as the How texts of rows name them.
const (
	bySockDiag    = "sock_diag"
	bySocketTable = "/proc/net/tcp"
)

var errNoSuchSocket = errors.New("no such socket")

// unreadBytes returns the number of bytes in the receive queue of the TCP socket with these two addresses. It asks the
// kernel for this one socket through sock_diag(7). If that fails, it reads the table of all sockets, which takes tens of
// milliseconds when there are many thousands. method names the method that was used.
func unreadBytes(local, remote netip.AddrPort) (n int, method string, err error) {
	if n, err = unreadBySockDiag(local, remote); err == nil {
		return n, bySockDiag, nil
	}
	n, err = unreadBySocketTable(local, remote)
	return n, bySocketTable, err
}

// Constants from <linux/sock_diag.h>, <linux/inet_diag.h> and <linux/netlink.h>. Sizes and offsets are in bytes.
const (
	netlinkSockDiag   = 4  // NETLINK_SOCK_DIAG
	sockDiagByFamily  = 20 // SOCK_DIAG_BY_FAMILY
	netlinkHeaderSize = 16 // struct nlmsghdr

	// In struct inet_diag_req_v2.
	diagRequestSize = 56
	diagStates      = 4
	diagPorts       = 8
	diagSourceAddr  = 12
	diagPeerAddr    = 28
	diagCookie      = 48

	// In struct inet_diag_msg.
	diagReplyPorts   = 4
	diagReceiveQueue = 56

	portSize           = 2
	anyState           = 0xffffffff         // matches sockets in every state
	anyCookie          = 0xffffffffffffffff // matches sockets with every cookie
	sockDiagTimeoutSec = 1
)

// unreadBySockDiag reads the size of a socket's receive queue through sock_diag(7).
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
		return 0, errors.New("sock_diag: no such socket, or unexpected reply")
	}
	wantPorts := request[netlinkHeaderSize+diagPorts:][:portSize+portSize]
	if !bytes.Equal(reply[netlinkHeaderSize+diagReplyPorts:][:len(wantPorts)], wantPorts) { // a listener on the same port
		return 0, fmt.Errorf("sock_diag: %w", errNoSuchSocket)
	}
	return int(binary.NativeEndian.Uint32(reply[netlinkHeaderSize+diagReceiveQueue:])), nil
}

// sockDiagRequest returns the netlink message that requests the socket with these two addresses.
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

// unreadBySocketTable reads the size of a socket's receive queue from /proc/net/tcp; see proc(5).
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

// socketTableAddr formats an IPv4 address and port as /proc/net/tcp does, with the address in native byte order.
func socketTableAddr(addr netip.AddrPort) string {
	ip := addr.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addr.Port())
}
