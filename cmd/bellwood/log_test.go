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

// asMain stands in the environment of a process that is to be the program, not the tests.
const asMain = "BELLWOOD_TEST_AS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A gateway whose log goes to a pipe that nobody reads must serve on and end: each line once waited for the reader, and
// the event loop with it.
func TestServesThoughNobodyReadsTheLog(t *testing.T) {
	addr := freeAddr(t)
	program := startProgram(t, addr, fullPipe(t))
	if reply := ping(addr); !strings.HasPrefix(reply, "-LOADING") {
		t.Fatalf("PING is answered %q", reply)
	}
	program.process.Signal(syscall.SIGTERM)
	select {
	case err := <-program.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("it does not end")
	}
}

// fullPipe returns the writing end of a pipe that takes nothing more, as that of a log whose reader has stopped.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	reads, writes, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reads.Close(); writes.Close() })
	writes.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for block := make([]byte, 4096); ; {
		if _, err := writes.Write(block); err != nil {
			return writes
		}
	}
}

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// program is the program in a process of its own.
type program struct {
	process *os.Process
	ended   chan error
}

// startProgram starts the program, which listens on an address and logs to a file, until the test ends.
func startProgram(t *testing.T, addr string, log *os.File) program {
	t.Helper()
	file := newConfigFile(t, configJSON(addr, "127.0.0.1:1"))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asMain+"=1", "NODE_CONFIG="+file, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	return program{process: cmd.Process, ended: ended}
}

// ping sends a PING as soon as the program listens, and returns the reply; empty: there was none in time.
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
