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
	// terminateTimeout is the time from SIGTERM to SIGKILL. A gateway ends within 3.75 s of SIGTERM: its event loop within
	// 3.65 s, and its log within another 0.1 s.
	terminateTimeout    = 5 * time.Second
	killTimeout         = 5 * time.Second // from SIGKILL; a process that still exists then is stuck in the kernel
	logTailBytes        = 16 << 10        // kept of the end of a process's log
	clockTicksPerSecond = 100             // unit of the processor times in /proc/PID/stat; USER_HZ in proc(5)
)

// childProcess is a shell command that runs in its own process group. It is safe for concurrent use.
type childProcess struct {
	cmd     *exec.Cmd
	log     processLog
	started time.Time
	done    chan struct{} // closed when the process has been reaped and its group killed
}

// startProcess starts a shell command in a working directory. The process is killed if this process dies. Its standard error
// is also written to log, unless that is nil. A goroutine waits for the process to end and reaps it.
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

// reap waits until the process ends, kills the rest of its group and reaps the process.
func (p *childProcess) reap() {
	defer close(p.done)
	awaitExit(p.pid())
	syscall.Kill(-p.pid(), syscall.SIGKILL) // the group's id can't be reused while its leader is unreaped
	p.cmd.Wait()
}

func (p *childProcess) pid() int { return p.cmd.Process.Pid }

// awaitExit waits until a child process ends, without reaping it.
func awaitExit(pid int) {
	const idTypePID, onExit, keepUnreaped = 1, 4, 0x01000000 // P_PID, WEXITED and WNOWAIT, see waitid(2)
	var info [128]byte                                       // siginfo_t
	for {
		_, _, errno := syscall.Syscall6(syscall.SYS_WAITID, idTypePID, uintptr(pid), uintptr(unsafe.Pointer(&info)),
			onExit|keepUnreaped, 0, 0)
		if errno != syscall.EINTR {
			return
		}
	}
}

// ended reports whether the process has ended and been reaped.
func (p *childProcess) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process group, unless the process has ended.
func (p *childProcess) signal(s syscall.Signal) {
	if !p.ended() {
		syscall.Kill(-p.pid(), s)
	}
}

// terminate sends SIGTERM and, after a timeout, SIGKILL. It returns how long the process took to end. It returns an error
// if the process had ended before, exited with a failure or needed SIGKILL, or if it still exists.
func (p *childProcess) terminate(timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if p.ended() {
		return 0, fmt.Errorf("process %d had already ended: %v", p.pid(), p.cmd.ProcessState)
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if !p.cmd.ProcessState.Success() {
			return time.Since(start), fmt.Errorf("process %d ended with %v", p.pid(), p.cmd.ProcessState)
		}
		return time.Since(start), nil
	case <-time.After(timeout):
	}
	if err := p.kill(); err != nil {
		return time.Since(start), err
	}
	return time.Since(start), fmt.Errorf("process %d did not end on SIGTERM: SIGKILL was needed after %v", p.pid(), timeout)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *childProcess) kill() error {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.done:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("process %d still exists %v after SIGKILL", p.pid(), killTimeout)
	}
}

// endError returns an error with the exit status and the last log line of a process that has ended.
func (p *childProcess) endError() error {
	return fmt.Errorf("%v: %s", p.cmd.ProcessState, p.log.lastLine())
}

// processUsage is the resource usage of a process.
type processUsage struct {
	cpu                         time.Duration // user and system time, with a resolution of 10 ms
	residentBytes, peakResident int64         // in bytes, current and peak
	openDescriptors             int
}

// usage reads the process's resource usage from /proc; see proc(5).
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

// readProcessorTime returns the sum of utime and stime in a /proc/PID/stat file.
func readProcessorTime(file string) (sum time.Duration, err error) {
	const userTime, systemTime = 11, 12 // indexes of the fields after the command name, which may contain any character
	stat, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("%s has too few fields: %q", file, stat)
	}
	for _, field := range fields[userTime : systemTime+1] {
		ticks, _ := strconv.ParseInt(field, 10, 64)
		sum += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	return sum, nil
}

// processLog keeps the text that is written to it. It is safe for concurrent use.
type processLog struct {
	maxBytes int // only the last maxBytes are kept; 0: everything

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
