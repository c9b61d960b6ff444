package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A gateway that can't start says why in one line; the address it is to listen on is no exception.
func TestBadConfiguration(t *testing.T) {
	good := configJSON("127.0.0.1:0", "127.0.0.1:1")
	for _, bad := range []string{"{", strings.Replace(good, `"peers-total":1`, `"peers-total":0`, 1),
		strings.Replace(good, "127.0.0.1:0", "127.0.0.1:none", 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "1000", "0", 1)} {
		t.Setenv("NODE_CONFIG", newConfigFile(t, bad))
		for _, name := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"} {
			t.Setenv(name, "")
		}
		if err := run(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: error %v", bad, err)
		}
	}
}

// The environment overrides the file.
func TestEnvironment(t *testing.T) {
	t.Setenv("NODE_CONFIG", newConfigFile(t, configJSON("127.0.0.1:1", "127.0.0.1:2")))
	t.Setenv("NODE_NAME", "n2")
	t.Setenv("NODE_LISTEN", "127.0.0.1:3")
	t.Setenv("NODE_DISCOVERY", "127.0.0.1:4")
	cfg, err := readConfig(environment)
	if err != nil || cfg.Name != "n2" || cfg.Listen != "127.0.0.1:3" || cfg.Discovery != "127.0.0.1:4" {
		t.Errorf("%+v, %v", cfg, err)
	}
}

// By default SIGHUP ends a program. It must not end this one, also while it starts or ends: an unusable file changes
// nothing, and a usable one overrides the environment.
func TestReload(t *testing.T) {
	watched := make(chan string, 64) // names of the agents that are asked
	file := newConfigFile(t, configJSON("127.0.0.1:0", "127.0.0.1:1"))
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_DISCOVERY", newAgent(t, "first", watched))
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	waitForWatch(t, watched, "first")
	replaceFile(t, file, configJSON("127.0.0.1:0", "nowhere"))
	sendSignal(t, syscall.SIGHUP)
	waitForWatch(t, watched, "first")
	replaceFile(t, file, configJSON("127.0.0.1:0", newAgent(t, "second", watched)))
	sendSignal(t, syscall.SIGHUP)
	waitForWatch(t, watched, "second")
	late := make(chan os.Signal, 8) // one that comes when run has ended must not end the tests
	signal.Notify(late, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(late)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		sendSignal(t, s)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// newAgent starts a discovery agent that tells when it is asked, and returns its address.
func newAgent(t *testing.T, name string, watched chan<- string) (addr string) {
	t.Helper()
	agent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { watched <- name }))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// waitForWatch waits until an agent is asked from now on: it passes over what has been noted before. Agents are asked
// again and again, as they answer nothing of use.
func waitForWatch(t *testing.T, watched <-chan string, name string) {
	t.Helper()
	for len(watched) > 0 {
		<-watched
	}
	for limit := time.After(testTimeout); ; {
		select {
		case got := <-watched:
			if got == name {
				return
			}
		case <-limit:
			t.Fatalf("%s is not watched", name)
		}
	}
}

// replaceFile puts a configuration in the place of a file's, at once.
func replaceFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// sendSignal sends this process a signal.
func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
