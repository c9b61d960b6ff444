package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Gateway is a real gateway, started with the deploy file's command.
type Gateway struct {
	Name, Addr string
	cmd        *exec.Cmd
	Log        string // path
	Exited     chan struct{}
}

// Limits of a gateway's configuration.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings returns the settings of one of three gateways: those of the example in the wire page, with every class earning
// a fifth for late answers.
func Settings(rank int) map[string]any {
	class := func(name, effect string, target, giveUp int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "target-us": target, "give-up-us": giveUp,
			"window-us": giveUp, "worth": worth, "late-worth": 0.2, "stream": false}
	}
	plan := func(name string, rate, burst, factor, over float64) map[string]any {
		return map[string]any{"name": name, "units-per-s": rate, "most-at-once": burst, "value-factor": factor, "over-cost": over,
			"extra-worth": 0.0, "at-once": 0, "never-over-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0}
	}
	return map[string]any{
		"peers-total": 3, "rank": rank, "locality": rank, "layer": 0, "resolution-us": 4000, "discovery": "pushed",
		"family": "gate", "weights": "none", "areas": []string{"hala-a", "hala-b", "hala-c"}, "kinds": []string{"n4", "n3"},
		"stages":  []string{"semnare"},
		"clients": map[string]any{"marks-retry": true},
		"classes": []any{class("status", "safe", 1_200_000, 5_000_000, 1), class("submit", "keyed", 1_000_000, 2_500_000, 5),
			class("release", "unsafe", 1_000_000, 3_000_000, 2)},
		"tiers-of-service": []any{plan("mic", 0.83, 5, 0.72, 1.2), plan("mediu", 2.5, 12, 1.1, 0.5), plan("mare", 12, 25, 1.8, 0.5)},
		"limits": map[string]any{"cancel": true, "conn-idle-us": 30_000_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400_000,
			"dial-timeout-us": 250_000, "max-attempts": 4, "max-retry-after-us": 500_000, "max-streams": 100, "may-probe": false,
			"open-cap": 20_000, "peers": false, "retry-after": true, "second-copies": true},
		"load-info": map[string]any{"how": "answers", "names": []string{"latency_ms"}},
		"obligations": map[string]any{"answer-slack-us": 16_000, "ask-every-us": 10_000_000, "cold-from": 0.18, "fall-multiple": 3.0,
			"fall-us": 3_000_000, "stop-sending-within-us": 250_000, "warm-within-us": 18_000_000},
		"specifics": map[string]any{"count-fee": 0.01, "counter-timeout-us": 50_000, "inbox-per-s": 0.0, "max-units": 1,
			"meter-us": 0, "shared-counter": true, "trued-up": false},
	}
}

// StartGateway starts a gateway and waits until it answers PING.
func StartGateway(root, dir string, rank int, limits Limits, agent, counter string, known []byte) (*Gateway, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("no run in the deploy file")
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: fmt.Sprint("n", rank), Addr: free.Addr().String(), Exited: make(chan struct{})}
	free.Close()
	config, _ := json.Marshal(map[string]any{"name": g.Name, "listen": g.Addr, "discovery": agent, "counter": counter,
		"seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(rank)), "limits": limits, "known": json.RawMessage(known),
		"settings": Settings(rank)})
	file := filepath.Join(dir, g.Name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	g.Log = filepath.Join(dir, g.Name+".log")
	log, err := os.Create(g.Log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = root, log, log
	g.cmd.Env = append(os.Environ(), "NODE_NAME="+g.Name, "NODE_LISTEN="+g.Addr, "NODE_DISCOVERY="+agent, "NODE_CONFIG="+file,
		"TMPDIR="+dir, "NODE_LOG_LEVEL="+os.Getenv("CASE_LOG_LEVEL"))
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.cmd.Wait()
		close(g.Exited)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ping(g.Addr) {
			return g, nil
		}
	}
	return nil, fmt.Errorf("%s was not ready within 30 s", g.Name)
}

func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(Command("PING"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+PONG\r\n"
}

// Signal sends a signal to the gateway.
func (g *Gateway) Signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

// End kills the gateway and waits for its end.
func (g *Gateway) End() {
	g.cmd.Process.Kill()
	<-g.Exited
}

// AnonymousMemory returns the resident memory in KiB that is the gateway's own, without the program file's pages.
func (g *Gateway) AnonymousMemory() (kib int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(value, &kib)
		}
	}
	return kib
}
