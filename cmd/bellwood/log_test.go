package main

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "BELLWOOD_TEST_AS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A gateway whose log goes to a full pipe that nobody reads must still serve clients and shut down. If each log line
// were written straight to the pipe, the write would block, and with it the event loop.
func TestGatewayServesAndShutsDownWhenLogBlocks(t *testing.T) {
	addr := freeAddr(t)
	gateway := startGateway(t, addr, fullPipe(t))
	if reply := ping(addr); !strings.HasPrefix(reply, "-LOADING") {
		t.Fatalf("got reply %q to PING, want -LOADING", reply)
	}
	gateway.process.Signal(syscall.SIGTERM)
	select {
	case err := <-gateway.exited:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the gateway did not exit within %v of SIGTERM", testTimeout)
	}
}

// fullPipe returns the write end of a full pipe, like that of a log whose reader has stopped.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	readEnd, writeEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { readEnd.Close(); writeEnd.Close() })
	writeEnd.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for block := make([]byte, 4096); ; {
		if _, err := writeEnd.Write(block); err != nil {
			return writeEnd
		}
	}
}

// freeAddr returns a loopback address with a port that is not in use.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// gatewayProcess is a gateway that runs in its own process.
type gatewayProcess struct {
	process *os.Process
	exited  chan error // receives the result of Wait
}

// startGateway starts a gateway process that listens on addr and logs to the file log. It is killed when the test ends.
func startGateway(t *testing.T, addr string, log *os.File) gatewayProcess {
	t.Helper()
	file := newConfigFile(t, configJSON(addr, "127.0.0.1:1"))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "NODE_CONFIG="+file, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	return gatewayProcess{process: cmd.Process, exited: exited}
}

// ping sends a PING as soon as a connection to addr succeeds, and returns the reply, or "" if there is none within
// testTimeout.
func ping(addr string) (reply string) {
	for end := time.Now().Add(testTimeout); reply == "" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		reply, _ = bufio.NewReader(conn).ReadString('\n')
		conn.Close()
	}
	return reply
}
