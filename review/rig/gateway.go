package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits are the limits in the configuration of a front door.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a front door.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Counter   string         `json:"counter"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Gateway is the process of a front door.
type Gateway struct {
	Config Config
	PID    int // of the program itself: run replaces the shell by exec
	dir    string
	record *Record
	log    *os.File
	mu     sync.Mutex
	ended  chan struct{}
	status string
}

// runCommand returns the command that the deploy file names.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("the deploy file names no command to run")
}

// FreeAddress returns a loopback address at which nothing listens.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// NewGateway prepares a front door whose files lie in dir.
func NewGateway(config Config, dir string, record *Record) *Gateway {
	return &Gateway{Config: config, dir: dir, record: record}
}

func (g *Gateway) file() string { return filepath.Join(g.dir, g.Config.Name+".json") }

// WriteConfig replaces the file of the configuration.
func (g *Gateway) WriteConfig() error {
	text, err := json.MarshalIndent(g.Config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.file()+".new", g.file())
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	run, err := runCommand()
	if err != nil {
		return err
	}
	g.Config.Seed = fmt.Sprintf("%016x", rand.Uint64())
	if err := g.WriteConfig(); err != nil {
		return err
	}
	if g.log == nil {
		if g.log, err = os.Create(filepath.Join(g.dir, g.Config.Name+".log")); err != nil {
			return err
		}
	}
	if g.Config.Limits.Sockets > 0 { // the limit that the configuration states
		run = fmt.Sprintf("ulimit -n %d; %s", g.Config.Limits.Sockets, run)
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Env = append(os.Environ(), "NODE_NAME="+g.Config.Name, "NODE_LISTEN="+g.Config.Listen,
		"NODE_DISCOVERY="+g.Config.Discovery, "NODE_CONFIG="+g.file(), "NODE_LOG_LEVEL="+os.Getenv("GATEWAY_LOG"))
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.PID, g.ended, g.status = cmd.Process.Pid, ended, ""
	g.mu.Unlock()
	g.record.Logf("front door %s started at %s", g.Config.Name, g.Config.Listen)
	go func() {
		err := cmd.Wait()
		g.mu.Lock()
		g.status = "exit status 0"
		if err != nil {
			g.status = err.Error()
		}
		g.mu.Unlock()
		g.record.Logf("front door %s ended: %s", g.Config.Name, g.Status())
		close(ended)
	}()
	return nil
}

// Status returns how the process ended; empty while it runs.
func (g *Gateway) Status() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// Signal sends a signal to the process.
func (g *Gateway) Signal(signal syscall.Signal) {
	if g.Status() == "" && g.PID > 0 {
		g.record.Logf("front door %s gets %s", g.Config.Name, signal)
		syscall.Kill(g.PID, signal)
	}
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	if g.PID > 0 && g.Status() == "" {
		syscall.Kill(g.PID, syscall.SIGKILL)
		<-g.ended
	}
}

// WaitReady waits until the front door answers PING.
func (g *Gateway) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if Ping(g.Config.Listen) {
			return nil
		}
		if status := g.Status(); status != "" {
			return fmt.Errorf("front door %s ended: %s", g.Config.Name, status)
		}
	}
	return fmt.Errorf("front door %s is not ready", g.Config.Name)
}

// Memory returns the resident memory of the process in bytes.
func (g *Gateway) Memory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.PID))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
