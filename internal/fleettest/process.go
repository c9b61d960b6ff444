package fleettest

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// From SIGTERM to SIGKILL. A gateway ends after 3.75 s at the latest: its loop within 3.65 s, its log within 0.1 s more.
	terminateTimeout    = 5 * time.Second
	killTimeout         = 5 * time.Second // from SIGKILL; what still runs then is stuck in the kernel
	logTailBytes        = 16 << 10        // of a process's log that are kept
	clockTicksPerSecond = 100             // of the processor times in /proc/PID/stat, by proc(5) USER_HZ
)

// childProcess is a shell's command in a process group of its own. It is safe for concurrent use.
type childProcess struct {
	cmd     *exec.Cmd
	log     processLog
	started time.Time
	done    chan struct{} // closed once it and its group have ended
}

// startProcess starts a command by the shell, from a folder. It is killed if this process dies. Its standard error goes
// to log as well, if that is not nil. A goroutine waits for its end and reaps it.
func startProcess(dir, command string, env []string, log io.Writer) (*childProcess, error) {
	p := &childProcess{cmd: exec.Command("/bin/sh", "-c", command), log: processLog{maxBytes: logTailBytes},
		done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env = dir, env
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if log != nil {
		p.cmd.Stderr = io.MultiWriter(&p.log, log)
	}
	p.cmd.WaitDelay = time.Second
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.started = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.reap()
	return p, nil
}

// reap waits for the end of the process, and ends what is left of its group.
func (p *childProcess) reap() {
	defer close(p.done)
	awaitExit(p.pid())
	syscall.Kill(-p.pid(), syscall.SIGKILL) // while the leader is unreaped nobody else can have its group's number
	p.cmd.Wait()
}

func (p *childProcess) pid() int { return p.cmd.Process.Pid }

// awaitExit waits until a child has ended and leaves it to be reaped.
func awaitExit(pid int) {
	const idTypePID, onExit, keepUnreaped = 1, 4, 0x01000000 // P_PID, WEXITED and WNOWAIT of waitid(2)
	var info [128]byte                                       // siginfo_t
	for {
		_, _, errno := syscall.Syscall6(syscall.SYS_WAITID, idTypePID, uintptr(pid), uintptr(unsafe.Pointer(&info)),
			onExit|keepUnreaped, 0, 0)
		if errno != syscall.EINTR {
			return
		}
	}
}

func (p *childProcess) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal signals the group, if the process has not ended.
func (p *childProcess) signal(s syscall.Signal) {
	if !p.ended() {
		syscall.Kill(-p.pid(), s)
	}
}

// terminate sends SIGTERM and, after a timeout, SIGKILL. It returns how long the process took to end, and an error if
// it had to be killed, ended by something else, or still runs.
func (p *childProcess) terminate(timeout time.Duration) (time.Duration, error) {
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
	case <-time.After(timeout):
	}
	if err := p.kill(); err != nil {
		return time.Since(start), err
	}
	return time.Since(start), fmt.Errorf("SIGKILL was needed %v after SIGTERM", timeout)
}

// kill sends SIGKILL and waits for the end.
func (p *childProcess) kill() error {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.done:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("process %d is there %v after SIGKILL", p.pid(), killTimeout)
	}
}

// endError says how a process that has ended did so.
func (p *childProcess) endError() error {
	return fmt.Errorf("%v: %s", p.cmd.ProcessState, p.log.lastLine())
}

// processUsage is what a process used so far.
type processUsage struct {
	cpu                         time.Duration // processor time, in steps of 10 ms
	residentBytes, peakResident int64         // bytes, now and at most
	openDescriptors             int
}

// usage reads /proc of the process; see proc(5).
func (p *childProcess) usage() (usage processUsage, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.pid())
	if usage.cpu, err = readProcessorTime(dir + "stat"); err != nil {
		return usage, err
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return usage, err
	}
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch key {
		case "VmRSS":
			usage.residentBytes = kilobytes << 10
		case "VmHWM":
			usage.peakResident = kilobytes << 10
		}
	}
	descriptors, err := os.ReadDir(dir + "fd")
	usage.openDescriptors = len(descriptors)
	return usage, err
}

// readProcessorTime sums utime and stime in a file /proc/PID/stat.
func readProcessorTime(file string) (sum time.Duration, err error) {
	const userTime, systemTime = 11, 12 // of the fields behind the command's name, which may hold anything
	stat, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("%s: %q", file, stat)
	}
	for _, field := range fields[userTime : systemTime+1] {
		ticks, _ := strconv.ParseInt(field, 10, 64)
		sum += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	return sum, nil
}

// processLog keeps what is written to it. It is safe for concurrent use.
type processLog struct {
	maxBytes int // of the end that are kept; 0: all

	mu   sync.Mutex // guards text
	text []byte
}

func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, b...)
	if over := len(l.text) - l.maxBytes; l.maxBytes > 0 && over > 0 {
		l.text = append(l.text[:0], l.text[over:]...)
	}
	return len(b), nil
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

func (l *processLog) lastLine() string {
	lines := strings.Split(strings.TrimSpace(l.String()), "\n")
	return lines[len(lines)-1]
}
