package fleettest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	terminateTimeout    = 5 * time.Second // from SIGTERM to SIGKILL; a door ends after 3.6 s at the latest
	killTimeout         = 5 * time.Second // from SIGKILL; what is not gone then is stuck in the kernel
	logTailSize         = 16 << 10        // bytes of a door's log that are kept
	clockTicksPerSecond = 100             // of the processor times in /proc/PID/stat, by proc(5) USER_HZ
)

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*("(?:[^"\\]|\\.)*")`)

// runCommand reads how a real door is started from deploy/balancer.toml.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml: no run")
	}
	return strconv.Unquote(string(m[1]))
}

// process is a real door: a shell's command in a process group of its own.
type process struct {
	cmd     *exec.Cmd
	log     tail
	started time.Time
	done    chan struct{} // closed once it and its group have ended
}

// startProcess starts a command by the shell, from a folder. It is killed if this process dies. The log goes to also as
// well, if that is not nil.
func startProcess(root, command string, env []string, also io.Writer) (*process, error) {
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env = root, env
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if also != nil {
		p.cmd.Stderr = io.MultiWriter(&p.log, also)
	}
	p.cmd.WaitDelay = time.Second
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.started = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		awaitExit(p.pid())
		syscall.Kill(-p.pid(), syscall.SIGKILL) // while the leader is unreaped nobody else can have its group's number
		p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// awaitExit waits until a child has ended and leaves it to be reaped.
func awaitExit(pid int) {
	const pPID, wExited, wNoWait = 1, 4, 0x01000000 // waitid(2)
	var info [128]byte
	for {
		_, _, e := syscall.Syscall6(syscall.SYS_WAITID, pPID, uintptr(pid), uintptr(unsafe.Pointer(&info)),
			wExited|wNoWait, 0, 0)
		if e != syscall.EINTR {
			return
		}
	}
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal signals the group, if the door has not ended.
func (p *process) signal(s syscall.Signal) {
	if !p.ended() {
		syscall.Kill(-p.pid(), s)
	}
}

// end sends SIGTERM and, after soft, SIGKILL. It returns how long the door took, and an error if it had to be killed,
// ended by something else, or is still there.
func (p *process) end(soft time.Duration) (time.Duration, error) {
	start := time.Now()
	if p.ended() {
		return 0, fmt.Errorf("had ended before (%v)", p.cmd.ProcessState)
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if !p.cmd.ProcessState.Success() {
			return time.Since(start), fmt.Errorf("ended with %v", p.cmd.ProcessState)
		}
		return time.Since(start), nil
	case <-time.After(soft):
	}
	if err := p.kill(); err != nil {
		return time.Since(start), err
	}
	return time.Since(start), fmt.Errorf("SIGKILL was needed %v after SIGTERM", soft)
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() error {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.done:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("process %d is there %v after SIGKILL", p.pid(), killTimeout)
	}
}

// usage is what a process used so far.
type usage struct {
	cpu       time.Duration // processor time, in steps of 10 ms
	rss, peak int64         // bytes resident, now and at most
	files     int           // open descriptors
}

func (p *process) usage() (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.pid())
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(f) < 13 {
		return u, fmt.Errorf("%sstat: %q", dir, stat)
	}
	for _, s := range f[11:13] { // utime and stime
		ticks, _ := strconv.ParseInt(s, 10, 64)
		u.cpu += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		k, v, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
		switch k {
		case "VmRSS":
			u.rss = kb << 10
		case "VmHWM":
			u.peak = kb << 10
		}
	}
	files, err := os.ReadDir(dir + "fd")
	u.files = len(files)
	return u, err
}

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - logTailSize; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

// last returns the last line.
func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.text)), "\n")
	return lines[len(lines)-1]
}
