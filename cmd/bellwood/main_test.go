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

// If the configuration is invalid, or gives an unusable listen address, run fails with an error of one line.
func TestRunFailsOnInvalidConfiguration(t *testing.T) {
	good := configJSON("127.0.0.1:0", "127.0.0.1:1")
	for _, invalid := range []string{"{", strings.Replace(good, `"peers-total":1`, `"peers-total":0`, 1),
		strings.Replace(good, "127.0.0.1:0", "127.0.0.1:none", 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "1000", "0", 1)} {
		t.Setenv("NODE_CONFIG", newConfigFile(t, invalid))
		for _, name := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"} {
			t.Setenv(name, "")
		}
		if err := run(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: got error %v, want an error of one line", invalid, err)
		}
	}
}

func TestInvalidLogLevelEndsTheStart(t *testing.T) {
	t.Setenv("NODE_LOG_LEVEL", "loud")
	if err := run(); err == nil || !strings.Contains(err.Error(), "NODE_LOG_LEVEL") {
		t.Errorf("got error %v, want one that names NODE_LOG_LEVEL", err)
	}
}

func TestEnvironmentOverridesConfigFile(t *testing.T) {
	t.Setenv("NODE_CONFIG", newConfigFile(t, configJSON("127.0.0.1:1", "127.0.0.1:2")))
	t.Setenv("NODE_NAME", "n2")
	t.Setenv("NODE_LISTEN", "127.0.0.1:3")
	t.Setenv("NODE_DISCOVERY", "127.0.0.1:4")
	cfg, err := readConfig(applyEnvironment)
	if err != nil || cfg.Name != "n2" || cfg.Listen != "127.0.0.1:3" || cfg.Discovery != "127.0.0.1:4" {
		t.Errorf("got configuration %+v, error %v; want name, listen and discovery from the environment", cfg, err)
	}
}

// SIGHUP, which by default ends a process, must not end the gateway, even during startup or shutdown. It reloads the
// configuration: an invalid file changes nothing; the discovery address of a valid one replaces that of the environment.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	watched := make(chan string, 64) // receives the agent's name on each request to an agent
	file := newConfigFile(t, configJSON("127.0.0.1:0", "127.0.0.1:1"))
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_DISCOVERY", newAgent(t, "first", watched))
	result := make(chan error, 1)
	go func() { result <- run() }()
	waitForWatch(t, watched, "first")
	replaceFile(t, file, configJSON("127.0.0.1:0", "nowhere"))
	sendSignal(t, syscall.SIGHUP)
	waitForWatch(t, watched, "first")
	replaceFile(t, file, configJSON("127.0.0.1:0", newAgent(t, "second", watched)))
	sendSignal(t, syscall.SIGHUP)
	waitForWatch(t, watched, "second")
	late := make(chan os.Signal, 8) // a signal that arrives after run has returned must not end the test process
	signal.Notify(late, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(late)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		sendSignal(t, s)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// newAgent starts a discovery agent that sends its name to watched on each request, and returns its address.
func newAgent(t *testing.T, name string, watched chan<- string) (addr string) {
	t.Helper()
	agent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { watched <- name }))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// waitForWatch waits for the next request to the agent; requests made before the call don't count. The gateway keeps
// retrying, as the agents' responses are empty.
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
			t.Fatalf("no request to agent %s within %v", name, testTimeout)
		}
	}
}

// replaceFile replaces the content of a file atomically.
func replaceFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// sendSignal sends a signal to this process.
func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}
