package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/gateway"
)

const patient = 20 * time.Second // bounds the waits; none is expected to take a noticeable part of it

// built is a folder that looks like the repository's root, with the deploy file and a door.
var built = sync.OnceValues(func() (string, error) {
	root, err := os.MkdirTemp("", "built-")
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		return root, err
	}
	os.Mkdir(filepath.Join(root, "deploy"), 0o700)
	if err := os.WriteFile(filepath.Join(root, "deploy", "balancer.toml"), text, 0o600); err != nil {
		return root, err
	}
	if out, err := exec.Command("go", "build", "-o", filepath.Join(root, "bin")+"/", "bellwood/cmd/bellwood").CombinedOutput(); err != nil {
		return root, fmt.Errorf("%w: %s", err, out)
	}
	return root, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if root, _ := built(); root != "" {
		os.RemoveAll(root)
	}
	os.Exit(code)
}

func small(t *testing.T) Options {
	t.Helper()
	root, err := built()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", t.TempDir()) // to see that nothing is left there
	return Options{Root: root, RealGateways: 1, SimulatedGateways: 3, Backends: 14, Tenants: 60, RequestsPerSecond: 150, Requests: 60, Drains: 1,
		Restarts: 1, MeanServiceTime: 2 * time.Millisecond, Seed: 7, ReadyTimeout: patient, drainDuration: 100 * time.Millisecond}
}

// group returns the processes of a group. Those that only wait to be reaped by whoever inherited them do not count.
func group(t *testing.T, id int) (left []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Fatalf("/proc: %v", err)
	}
	for _, file := range stats {
		text, err := os.ReadFile(file)
		if err != nil { // it has just ended
			continue
		}
		var state string
		var parent, leader int
		_, err = fmt.Sscan(string(text[bytes.LastIndexByte(text, ')')+1:]), &state, &parent, &leader)
		if err != nil {
			t.Fatalf("%s: %q", file, text)
		}
		if leader == id && state != "Z" && state != "X" {
			left = append(left, string(text))
		}
	}
	return left
}

// ends returns what is left of a group once there has been time for signals to arrive.
func ends(t *testing.T, id int) (left []string) {
	t.Helper()
	end := time.Now().Add(patient)
	for left = group(t, id); len(left) > 0 && time.Now().Before(end); left = group(t, id) {
		time.Sleep(time.Millisecond)
	}
	return left
}

// wantsNothingLeft fails if a process that the run started is there, or a file.
func wantsNothingLeft(t *testing.T, r *Report) {
	t.Helper()
	for _, pid := range r.pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is left: %v", pid, err)
		}
		if left := ends(t, pid); len(left) > 0 {
			t.Errorf("of group %d are left: %q", pid, left)
		}
	}
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); len(left) > 0 || err != nil {
		t.Errorf("left in the temporary folder: %v, %v", left, err)
	}
}

func TestRealBesideHollowDoors(t *testing.T) {
	o := small(t)
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	wantsNothingLeft(t, r)
	for _, part := range []struct {
		name string
		s    emulator.Sums
		all  int
	}{{"real", r.Real, o.Requests}, {"hollow", r.Simulated, o.SimulatedGateways*o.Requests - int(r.RequestsSkipped)}} {
		s := part.s
		if s.Requests != part.all || s.Served+s.Rejected+s.Failed != part.all || s.Served == 0 {
			t.Errorf("of %d requests of %s doors some have no final answer, or none was served: %+v", part.all, part.name, s)
		}
		if s.Phantom+s.Doubled+s.RejectedRan+s.Wrong+s.NotKept != 0 || s.Ran != s.Served+s.RanNotServed {
			t.Errorf("the backends of %s doors and their clients do not agree: %+v", part.name, s)
		}
	}
	if sum := r.Real.Runs + r.Simulated.Runs + r.Direct.Runs; r.AttemptsStarted != sum {
		t.Errorf("the backends began %d attempts, but %d by the requests' ids", r.AttemptsStarted, sum)
	}
	if failed := r.Failed(); len(failed) > 0 {
		t.Errorf("failed: %+v", failed)
	}
	if len(r.pids) != 3 {
		t.Errorf("%d processes for a start and two restarts", len(r.pids))
	}
	values := map[string]float64{}
	for _, row := range r.Rows() {
		values[row.Name] = row.Value
	}
	for _, name := range []string{"whole list", "drain of one backend, line of the watch", "drain of one backend, read by the door",
		"drain of 2 backends, line of the watch", "to the counter", "from the counter", "added by the door, p50",
		"added by the door, p99", "added without a door, p50", "requests ended", "resident memory", "open descriptors", "counter calls for a request",
		"connections held by a backend, most", "time to ready after SIGKILL, list known",
		"time to ready after SIGKILL, list unknown", "end after SIGTERM", "hollow doors' steps"} {
		if values[name] <= 0 {
			t.Errorf("%s is %v", name, values[name])
		}
	}
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil || !strings.Contains(b.String(), `"name": "whole list"`) {
		t.Errorf("as JSON: %v, %s", err, b.Bytes())
	}
}

// onText calls do when some text is written.
type onText struct {
	text string
	do   func()
}

func (w onText) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(w.text)) {
		w.do()
	}
	return len(b), nil
}

func TestCancelCleansUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := small(t)
	o.Progress = onText{"drains", cancel} // under load
	r, err := Run(ctx, o)
	if !errors.Is(err, context.Canceled) || len(r.pids) != 1 {
		t.Errorf("cancelled under load: %v, %d processes", err, len(r.pids))
	}
	wantsNothingLeft(t, r)
}

// A door that does not become ready is told of in a row, and the others go on.
func TestDoorThatIsNotReady(t *testing.T) {
	o := small(t)
	o.Root = t.TempDir()
	os.Mkdir(filepath.Join(o.Root, "deploy"), 0o700)
	os.WriteFile(filepath.Join(o.Root, "deploy", "balancer.toml"), []byte("run = \"echo \\\"not me\\\" >&2; sleep 60\"\n"), 0o600)
	o.ReadyTimeout, o.Requests, o.Drains, o.ToldGateways = 300*time.Millisecond, 10, -1, 50
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	wantsNothingLeft(t, r)
	failed := r.Failed()
	if len(failed) != 1 || !strings.Contains(failed[0].How, "not ready") || !strings.Contains(failed[0].How, "not me") {
		t.Errorf("failed: %+v", failed)
	}
	if r.ToldGateways != 50 || r.Real.Requests != 0 || r.Simulated.Requests != 30-int(r.RequestsSkipped) || r.Direct.Served != 10 {
		t.Errorf("of %d doors %d requests of real and %d of hollow ones, %d past them", r.ToldGateways, r.Real.Requests,
			r.Simulated.Requests, r.Direct.Served)
	}
}

// A process that does not heed SIGTERM, and what it started, is killed.
func TestProcessGroupIsKilled(t *testing.T) {
	p, err := startProcess(t.TempDir(), "trap '' TERM; sleep 60 & wait; wait", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patient); len(group(t, p.pid())) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if both := group(t, p.pid()); len(both) != 2 {
		t.Errorf("the group is %q", both)
	}
	if u, err := p.usage(); err != nil || u.rss <= 0 || u.peak < u.rss || u.files < 3 {
		t.Errorf("it uses %+v, %v", u, err)
	}
	if _, err := p.end(50 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "SIGKILL was needed") {
		t.Errorf("it ended with %v", err)
	}
	if left := ends(t, p.pid()); len(left) > 0 {
		t.Errorf("of the group are left: %q", left)
	}
}

// Both ways of asking tell what a socket has not been read from.
func TestUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	own, peer := netip.MustParseAddrPort(a.LocalAddr().String()), netip.MustParseAddrPort(b.LocalAddr().String())
	for i, want := range []int{0, 5, 0} {
		if i == 1 {
			b.Write([]byte("12345"))
		} else if i == 2 {
			a.Read(make([]byte, 64))
		}
		n, err := tableUnread(own, peer)
		for end := time.Now().Add(patient); n != want && err == nil && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
			n, err = tableUnread(own, peer)
		}
		if n != want || err != nil {
			t.Errorf("%d bytes by the table, %v; want %d", n, err, want)
		}
		if n, err := diagUnread(own, peer); err == nil && n != want { // the kernel may come without it
			t.Errorf("%d bytes by sock_diag, want %d", n, want)
		} else if err != nil {
			t.Log(err)
		}
	}
	if _, _, err := unread(peer, netip.MustParseAddrPort("127.0.0.1:1")); err == nil {
		t.Error("a socket that there is not is found")
	}
}

// Real and hollow doors are told the same settings.
func TestSettingsAgree(t *testing.T) {
	for _, rank := range []int{0, 9} {
		p := newSettings(rank, 12, 7)
		text, _ := json.Marshal(gatewayConfig{Seed: "1", Known: []byte("{}"), Settings: p.nested()})
		real, err := gateway.ReadConfig(bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		hollow, err := p.module()
		if err != nil || !reflect.DeepEqual(real.Settings, hollow) {
			t.Errorf("real doors are told %+v, hollow ones %+v (%v)", real.Settings, hollow, err)
		}
		if hollow.GatewayIndex != rank || hollow.Zone != rank%7 || len(hollow.Classes) != len(classes) ||
			!reflect.DeepEqual(real.Transport.Plans, plans) || len(real.Transport.Zones) != 7 {
			t.Errorf("rank %d is told %+v and %+v", rank, hollow, real.Transport)
		}
		for i, c := range classes {
			if real.Transport.Classes[i] != c.Name || int(hollow.Classes[i].Idempotency) != int(c.Idempotency) {
				t.Errorf("class %s is told as %+v", c.Name, hollow.Classes[i])
			}
		}
	}
}
