package gateway

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// reservedPort is a bound port that refuses connections until listen is called.
type reservedPort struct {
	file *os.File
	addr string
}

// newReservedPort binds a free port without listening on it.
func newReservedPort(t *testing.T) *reservedPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &reservedPort{file: os.NewFile(uintptr(fd), "port")}
	t.Cleanup(func() { p.file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	local, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	p.addr = fmt.Sprint("127.0.0.1:", local.(*syscall.SockaddrInet4).Port)
	return p
}

// listen starts listening with the given backlog.
func (p *reservedPort) listen(t *testing.T, backlog int) net.Listener {
	t.Helper()
	if err := syscall.Listen(int(p.file.Fd()), backlog); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(p.file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// lateListener is a backend's listener that delays connections: while its backlog is full, the kernel drops connection
// requests (SYN), and the other side retries after one second.
type lateListener struct {
	t        *testing.T
	listener net.Listener
	filler   net.Conn // occupies the backlog
}

// newLateListener returns a listener that delays connections until emptyBacklog is called.
func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	l := &lateListener{t: t, listener: newReservedPort(t).listen(t, 0)}
	l.fillBacklog()
	return l
}

// fillBacklog fills the backlog, so that further connections are delayed.
func (l *lateListener) fillBacklog() {
	l.t.Helper()
	nc, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { nc.Close() })
	l.filler = nc
}

// emptyBacklog empties the backlog, so that delayed connections can be established.
func (l *lateListener) emptyBacklog() {
	l.t.Helper()
	if client := accept(l.t, l.listener); client.socket.RemoteAddr().String() != l.filler.LocalAddr().String() {
		l.t.Fatal("another connection was established while the backlog was full")
	}
}
