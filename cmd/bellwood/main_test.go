package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// configText is a configuration that a gateway can be run with.
func configText(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","settings":{"peers-total":1,`+
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a","effect":"safe"}],`+
		`"tiers-of-service":[{"name":"b"}]}}`, listen, discovery)
}

// writeConfig replaces the configuration file as a deployment does, by a rename.
func writeConfig(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// A gateway that can't start says why in one line; the address it is to listen on is no exception.
func TestBadConfiguration(t *testing.T) {
	good := configText("127.0.0.1:0", "127.0.0.1:1")
	for name, bad := range map[string]string{
		"no JSON":               "{",
		"setting out of bounds": strings.Replace(good, `"peers-total":1`, `"peers-total":0`, 1),
		"no port":               strings.Replace(good, "127.0.0.1:0", "127.0.0.1:none", 1),
		"no address":            strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		"no dial timeout":       strings.Replace(good, "1000", "0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, file, bad)
			t.Setenv("NODE_CONFIG", file)
			for _, variable := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"} {
				t.Setenv(variable, "")
			}
			if err := run(); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%.40q: error %v", bad, err)
			}
		})
	}
}

// The environment goes before the file.
func TestEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, configText("127.0.0.1:1", "127.0.0.1:2"))
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_NAME", "n2")
	t.Setenv("NODE_LISTEN", "127.0.0.1:3")
	t.Setenv("NODE_DISCOVERY", "127.0.0.1:4")
	cfg, err := readConfig(environment)
	if err != nil || cfg.Name != "n2" || cfg.Listen != "127.0.0.1:3" || cfg.Discovery != "127.0.0.1:4" {
		t.Errorf("%+v, %v", cfg, err)
	}
}

// watchedAgents says which of several discovery agents are watched.
type watchedAgents struct {
	t     *testing.T
	calls chan string // names of the agents
}

// add runs a further agent and returns its address.
func (w *watchedAgents) add(name string) string {
	agent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { w.calls <- name }))
	w.t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://")
}

// wants waits until an agent is watched.
func (w *watchedAgents) wants(name string) {
	w.t.Helper()
	for limit := time.After(20 * time.Second); ; {
		select {
		case got := <-w.calls:
			if got == name {
				return
			}
		case <-limit:
			w.t.Fatalf("%s is not watched", name)
		}
	}
}

func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP must not end the program: an unusable file changes nothing, and a usable one goes before the environment.
func TestReload(t *testing.T) {
	agents := &watchedAgents{t: t, calls: make(chan string, 64)}
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, configText("127.0.0.1:0", "127.0.0.1:1"))
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_DISCOVERY", agents.add("first"))
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	agents.wants("first")

	writeConfig(t, file, configText("127.0.0.1:0", "nowhere"))
	sendSignal(t, syscall.SIGHUP)
	agents.wants("first")

	writeConfig(t, file, configText("127.0.0.1:0", agents.add("second")))
	sendSignal(t, syscall.SIGHUP)
	agents.wants("second")

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
