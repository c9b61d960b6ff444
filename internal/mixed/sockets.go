package mixed

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// unread returns how many bytes wait to be read by the process that holds the socket with these two ends, by the
// kernel's table (/proc/net/tcp, see proc(5)). known is false where there is no such socket.
func unread(own, peer netip.AddrPort) (n int, known bool, err error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, false, err
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
			return 0, false, fmt.Errorf("/proc/net/tcp: %q: %w", lines.Text(), err)
		}
		return n, true, nil
	}
	return 0, false, lines.Err()
}

// procAddr writes an IPv4 address and port as /proc/net/tcp does, the address in the machine's order of bytes.
func procAddr(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}
