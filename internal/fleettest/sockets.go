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

// unread returns how many bytes wait to be read by the process that holds the TCP socket with these two ends. It asks
// the kernel for just that socket, by sock_diag(7); where that can't be, it reads the table of all, which takes tens of
// milliseconds where there are many thousands. way names what it did.
func unread(own, peer netip.AddrPort) (n int, way string, err error) {
	if n, err = diagUnread(own, peer); err == nil {
		return n, "sock_diag", nil
	}
	n, err = tableUnread(own, peer)
	return n, "/proc/net/tcp", err
}

// Figures of <linux/sock_diag.h>, <linux/inet_diag.h> and <linux/netlink.h>.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	netlinkHeader    = 16
	diagRequest      = 56 // struct inet_diag_req_v2
	diagPorts        = 8  // in it
	diagCookie       = 48 // in it
	diagReceiveQueue = 56 // in struct inet_diag_msg
)

func diagUnread(own, peer netip.AddrPort) (int, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 1}); err != nil {
		return 0, err
	}
	b := make([]byte, netlinkHeader+diagRequest)
	ne := binary.NativeEndian
	ne.PutUint32(b, uint32(len(b)))
	ne.PutUint16(b[4:], sockDiagByFamily)
	ne.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	r := b[netlinkHeader:]
	r[0], r[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	ne.PutUint32(r[4:], 0xffffffff) // any state
	binary.BigEndian.PutUint16(r[diagPorts:], own.Port())
	binary.BigEndian.PutUint16(r[diagPorts+2:], peer.Port())
	src, dst := own.Addr().Unmap().As4(), peer.Addr().Unmap().As4()
	copy(r[diagPorts+4:], src[:])
	copy(r[diagPorts+20:], dst[:])
	ne.PutUint64(r[diagCookie:], 0xffffffffffffffff) // any
	if err := syscall.Sendto(fd, b, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	in := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, in, 0)
	if err != nil {
		return 0, err
	}
	if n < netlinkHeader+diagReceiveQueue+4 || ne.Uint16(in[4:]) != sockDiagByFamily {
		return 0, errors.New("sock_diag: no such socket, or no answer of use")
	}
	if !bytes.Equal(in[netlinkHeader+4:netlinkHeader+8], r[diagPorts:diagPorts+4]) { // a listener on the same port
		return 0, errors.New("sock_diag: no such socket")
	}
	return int(ne.Uint32(in[netlinkHeader+diagReceiveQueue:])), nil
}

// tableUnread finds the socket in /proc/net/tcp, see proc(5).
func tableUnread(own, peer netip.AddrPort) (n int, err error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	ends := procAddr(own) + " " + procAddr(peer) + " "
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), ends)
		if !ok {
			continue
		}
		var state, out int
		if _, err := fmt.Sscanf(rest, "%x %x:%x", &state, &out, &n); err != nil {
			return 0, fmt.Errorf("/proc/net/tcp: %q: %w", lines.Text(), err)
		}
		return n, nil
	}
	if err := lines.Err(); err != nil {
		return 0, err
	}
	return 0, errors.New("/proc/net/tcp: no such socket")
}

// procAddr writes an IPv4 address and port as /proc/net/tcp does, the address in the machine's order of bytes.
func procAddr(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}
