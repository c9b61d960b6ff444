package gateway

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// reservedPort is an address at which connections are refused until it is opened.
type reservedPort struct {
	file *os.File
	addr string
}

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
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	p.addr = fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
	return p
}

func (p *reservedPort) open(t *testing.T, backlog int) net.Listener {
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

// lateListener is a backend's address at which connections come up late: the system drops what asks for one while the
// backlog is full, and the other side tries again after a second.
type lateListener struct {
	t        *testing.T
	listener net.Listener
	filler   net.Conn
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	l := &lateListener{t: t, listener: newReservedPort(t).open(t, 0)}
	l.close()
	return l
}

// close makes further connections wait.
func (l *lateListener) close() {
	l.t.Helper()
	nc, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { nc.Close() })
	l.filler = nc
}

// open lets them come up.
func (l *lateListener) open() {
	l.t.Helper()
	if client := accept(l.t, l.listener); client.socket.RemoteAddr().String() != l.filler.LocalAddr().String() {
		l.t.Fatal("a connection came up before")
	}
}
