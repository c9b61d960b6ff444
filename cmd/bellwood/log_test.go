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

// A front door serves on and ends though nobody reads its log.
func TestServesThoughNobodyReadsTheLog(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n1","listen":"` + addr + `","discovery":"127.0.0.1:1","seed":"1","settings":{"peers-total":1,` +
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a","effect":"safe"}],"tiers-of-service":[{"name":"b"}]}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	door := exec.Command(os.Args[0])
	door.Env = append(os.Environ(), asMain+"=1", "NODE_CONFIG="+file, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	door.Stderr = fullPipe(t)
	if err := door.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- door.Wait() }()
	t.Cleanup(func() { door.Process.Kill() })
	var answer string
	for end := time.Now().Add(patient); answer == "" && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(patient))
		nc.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		answer, _ = bufio.NewReader(nc).ReadString('\n')
		nc.Close()
	}
	if !strings.HasPrefix(answer, "-LOADING") {
		t.Fatalf("PING is answered %q", answer)
	}
	door.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patient):
		t.Fatal("it does not end")
	}
}
