package main

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	patient = 20 * time.Second
	asMain  = "BELLWOOD_TEST_AS_MAIN" // in the environment of a process that is to be the program, not the tests
)

func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
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

// pings asks the gateway at an address until it answers, and returns the answer.
func pings(address string) (answer string) {
	for end := time.Now().Add(patient); answer == "" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(patient))
		conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		answer, _ = bufio.NewReader(conn).ReadString('\n')
		conn.Close()
	}
	return answer
}

// Whoever reads the log has stopped, and its pipe is full: a write would wait for ever, and the event loop with it. The
// gateway serves on and ends all the same.
func TestServesThoughNobodyReadsTheLog(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, configText(address, "127.0.0.1:1"))

	gateway := exec.Command(os.Args[0])
	gateway.Env = append(os.Environ(), asMain+"=1", "NODE_CONFIG="+file, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	gateway.Stderr = fullPipe(t)
	if err := gateway.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- gateway.Wait() }()
	t.Cleanup(func() { gateway.Process.Kill() })

	if answer := pings(address); !strings.HasPrefix(answer, "-LOADING") {
		t.Fatalf("PING is answered %q", answer)
	}
	gateway.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patient):
		t.Fatal("it does not end")
	}
}
