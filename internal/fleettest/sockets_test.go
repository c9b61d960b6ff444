package fleettest

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// connect returns the two ends of a TCP connection on loopback.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

// expectUnread waits until /proc/net/tcp shows the wanted number of unread bytes of a socket, and checks that sock_diag
// returns the same.
func expectUnread(t *testing.T, local, remote netip.AddrPort, want int) {
	t.Helper()
	n, err := unreadBySocketTable(local, remote)
	for end := time.Now().Add(waitTimeout); n != want && err == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		n, err = unreadBySocketTable(local, remote)
	}
	if n != want || err != nil {
		t.Errorf("%d unread bytes according to /proc/net/tcp (error %v), want %d", n, err, want)
	}
	if n, err := unreadBySockDiag(local, remote); err == nil && n != want { // the kernel may lack sock_diag
		t.Errorf("%d unread bytes according to sock_diag, want %d", n, want)
	} else if err != nil {
		t.Log(err)
	}
}

func TestUnreadBytesFollowsWritesAndReads(t *testing.T) {
	client, server := connect(t)
	local := netip.MustParseAddrPort(client.LocalAddr().String())
	remote := netip.MustParseAddrPort(server.LocalAddr().String())
	expectUnread(t, local, remote, 0)
	server.Write([]byte("12345"))
	expectUnread(t, local, remote, 5)
	client.Read(make([]byte, 64))
	expectUnread(t, local, remote, 0)
	if _, _, err := unreadBytes(remote, netip.MustParseAddrPort("127.0.0.1:1")); err == nil {
		t.Error("unreadBytes returned no error for a socket that does not exist")
	}
}
