package fleettest

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"bellwood/internal/emulator"
)

// run goes through the phases: start, load, drains, end of the load, restarts, end. It returns an error only where the
// run itself can't go on.
func (w *fleetRun) run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	background.Go(func() { w.watchLateness(ctx) })

	before := heapInUse()
	begin, halt := make(chan struct{}), make(chan struct{})
	for _, h := range w.hollow {
		background.Go(func() { h.run(ctx, begin, halt) })
	}
	if err := w.startDoors(ctx); err != nil {
		return err
	}
	if n := len(w.hollow); n > 0 {
		w.row("memory of a hollow door", "MB", n, []float64{mb(heapInUse()-before) / float64(n)}, "of the heap, with the list taken in and no load yet")
	}
	doors := w.up()
	if len(doors)+len(w.hollow) == 0 {
		return errors.New("no door is ready")
	}
	w.progress("%d real and %d hollow doors are ready", len(doors), len(w.hollow))
	if err := w.load(ctx, doors, begin, halt); err != nil {
		return err
	}
	if err := w.restarts(ctx, doors); err != nil {
		return err
	}
	w.endDoors(doors)
	return ctx.Err()
}

// heapInUse returns how many bytes of the heap are in use.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// up returns the real doors that run.
func (w *fleetRun) up() (doors []*realGateway) {
	for _, d := range w.real {
		if !d.failed {
			doors = append(doors, d)
		}
	}
	return doors
}

// watchLateness measures how late this process's own goroutines are woken.
func (w *fleetRun) watchLateness(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(delayProbeInterval)
		time.Sleep(time.Until(next))
		late := time.Since(next)
		w.late.record(late)
		if late > delayProbeInterval {
			next = time.Now()
		}
	}
}

// noise returns what to add to a row's text where this process was woken too late since the last call to trust times.
func (w *fleetRun) noise() string {
	p99, _ := w.late.at(99)
	w.late.reset()
	if p99 <= float64(noisySchedulingDelay.Microseconds()) {
		return ""
	}
	w.report.Noisy = true
	return fmt.Sprintf("; own scheduling delay p99 %.1f ms: noisy", p99/1000)
}

// startDoors starts the real doors together and waits for all doors. One that does not become ready is left out.
func (w *fleetRun) startDoors(ctx context.Context) error {
	errs := make([]error, len(w.real))
	times := make([]time.Duration, len(w.real))
	var wait sync.WaitGroup
	for i, d := range w.real {
		wait.Go(func() { times[i], errs[i] = d.start(ctx, true) })
	}
	wait.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var ready []float64
	for i, d := range w.real {
		if errs[i] == nil {
			ready = append(ready, ms(times[i]))
			continue
		}
		d.failed = true
		if d.proc != nil {
			if err := d.proc.kill(); err != nil {
				return err
			}
		}
		w.failure("time to ready, first start", "ms", 1, errs[i])
	}
	noise := w.noise()
	if len(ready) > 0 {
		w.row("time to ready, first start", "ms", len(ready), ready, "all real doors at once, from fork to +PONG, whole list known"+noise)
	}
	end := time.Now().Add(simulatedReadyTimeout)
	for _, h := range w.hollow {
		for !h.ready.Load() {
			if err := pause(ctx, time.Millisecond); err != nil {
				return err
			}
			if time.Now().After(end) {
				return fmt.Errorf("hollow door %d has not taken the list in %v", h.rank, simulatedReadyTimeout)
			}
		}
	}
	return nil
}

// count is what was counted up to some time.
type count struct {
	at                    time.Time
	agentIn, agentOut     []int64 // by door
	counterIn, counterOut []int64
	usage                 []usage
	answered              []int64
	calls, busy, arrivals int64
	conns                 int64 // opened at the backends
	hollowSteps           int64
}

func (w *fleetRun) count(doors []*realGateway) count {
	c := count{at: time.Now(), arrivals: w.arrivals.Load(), conns: w.backends.ConnectionsAccepted()}
	for _, d := range doors {
		c.agentIn = append(c.agentIn, d.agent.Meter.Received.Load())
		c.agentOut = append(c.agentOut, d.agent.Meter.Sent.Load())
		c.counterIn = append(c.counterIn, d.counter.Meter.Received.Load())
		c.counterOut = append(c.counterOut, d.counter.Meter.Sent.Load())
		u, _ := d.proc.usage() // a door that has ended is found out otherwise
		c.usage = append(c.usage, u)
		c.answered = append(c.answered, d.answered.Load())
	}
	c.calls, c.busy = w.numbers.Calls()
	for _, h := range w.hollow {
		c.hollowSteps += h.steps.Load()
	}
	return c
}

// load sends requests, measures, and drains backends meanwhile.
func (w *fleetRun) load(ctx context.Context, doors []*realGateway, begin, halt chan struct{}) error {
	var clients sync.WaitGroup
	defer clients.Wait()
	halted := sync.OnceFunc(func() { close(halt) })
	defer halted()
	ended := make(chan struct{})
	close(begin)
	stopClients := context.AfterFunc(ctx, func() { // else an answer would still be awaited
		for _, d := range doors {
			d.clients.Close()
		}
	})
	defer stopClients()
	for _, d := range doors {
		clients.Go(func() { d.drive(ctx, halt) })
	}
	direct, stopDirect := context.WithCancel(ctx)
	defer stopDirect()
	clients.Go(func() { w.direct(direct, halt) })
	go func() {
		defer close(ended)
		clients.Wait()
		for _, h := range w.hollow {
			for !h.idle.Load() && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	if w.o.Requests == 0 {
		if err := pause(ctx, warmUp); err != nil {
			return err
		}
	}
	w.progress("load of %.0f requests/s at each door", w.o.RequestsPerSecond)
	w.noise()
	w.hollowLate.reset()
	w.stepped.reset()
	for _, d := range doors {
		d.added.reset()
	}
	w.added.reset()
	w.bare.reset()
	w.measuring.Store(true)
	from := w.count(doors)
	conns := newConnections()
	if w.o.Requests > 0 {
		conns.sample(w.backends)
		if err := w.drains(ctx, doors); err != nil {
			return err
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(w.bound()):
			return errUnfinished
		}
		conns.sample(w.backends)
		w.measured(doors, from, w.count(doors), conns)
		return nil
	}
	for end := from.at.Add(w.o.Duration); time.Now().Before(end); {
		if err := pause(ctx, min(100*time.Millisecond, time.Until(end))); err != nil {
			return err
		}
		conns.sample(w.backends)
	}
	w.measuring.Store(false)
	w.measured(doors, from, w.count(doors), conns)
	if err := w.drains(ctx, doors); err != nil {
		return err
	}
	halted()
	select {
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(clientTimeout + replyGrace + time.Second):
		w.failure("requests left open", "", w.running(doors), errUnfinished)
	}
	return nil
}

// bound is how long a number of requests may take at the worst.
func (w *fleetRun) bound() time.Duration {
	return time.Duration(3*float64(w.o.Requests)/w.o.RequestsPerSecond*float64(time.Second)) + 3*(clientTimeout+replyGrace)
}

// measured makes rows of what was counted between two times.
func (w *fleetRun) measured(doors []*realGateway, from, to count, conns *connections) {
	seconds := to.at.Sub(from.at).Seconds()
	w.report.Seconds = seconds
	noise := w.noise()
	n := len(doors)
	each := func(a, b []int64) (rates []float64) {
		for i := range a {
			rates = append(rates, float64(b[i]-a[i])/seconds)
		}
		return rates
	}
	if n > 0 {
		w.row("whole list", "bytes", 1, []float64{float64(len(w.catalog.SnapshotJSON()))}, "body of GET /catalog/members")
		w.row("from discovery", "bytes/s", n, each(from.agentOut, to.agentOut), "TCP payload at each door's agent, nothing changing")
		w.row("to discovery", "bytes/s", n, each(from.agentIn, to.agentIn), "TCP payload at each door's agent")
		w.row("to the counter", "bytes/s", n, each(from.counterIn, to.counterIn), "TCP payload by door")
		w.row("from the counter", "bytes/s", n, each(from.counterOut, to.counterOut), "TCP payload by door")
		for _, q := range []float64{50, 99} {
			w.addedRow(doors, q, noise)
			v, all := w.bare.at(q)
			if all > 0 {
				w.row(fmt.Sprintf("added without a door, p%.0f", q), "us", 0, []float64{v},
					fmt.Sprintf("the same for %d requests from the clients to a backend: what sockets and this process add%s", all, noise))
			}
		}
		var cpu, share, rss, peak, files, rates []float64
		for i := range doors {
			u, answered := to.usage[i], float64(to.answered[i]-from.answered[i])
			used := u.cpu - from.usage[i].cpu
			share = append(share, ms(used)/seconds)
			if answered > 0 {
				cpu = append(cpu, float64(used.Microseconds())/answered)
			}
			rates = append(rates, float64(to.answered[i]-from.answered[i])/seconds)
			rss, peak = append(rss, mb(u.rss)), append(peak, mb(u.peak))
			files = append(files, float64(u.files))
		}
		w.row("requests ended", "1/s", n, rates, "by door")
		w.row("processor time for a request", "us", n, cpu, "utime and stime in /proc/PID/stat, all that the door did"+noise)
		w.row("processor time", "ms/s", n, share, "the same, whatever the requests"+noise)
		w.row("resident memory", "MB", n, rss, "VmRSS at the end of the load")
		w.row("resident memory, most", "MB", n, peak, "VmHWM since the start")
		w.row("open descriptors", "", n, files, "/proc/PID/fd at the end of the load")
		w.row("connections held by a backend, mean", "", n, []float64{conns.mean(w.o.Backends)},
			fmt.Sprintf("of the real doors alone, %d samples", conns.samples))
		w.row("connections held by a backend, most", "", n, []float64{float64(conns.most)},
			fmt.Sprintf("of the real doors alone, over the %d backends with an address of their own", len(w.seen)))
		w.row("connections opened to backends", "1/s", n, []float64{float64(to.conns-from.conns) / seconds}, "by all real doors")
	}
	calls, requests := float64(to.calls-from.calls), float64(to.arrivals-from.arrivals)
	w.row("counter calls", "1/s", w.running(doors), []float64{calls / seconds},
		fmt.Sprintf("of all doors; %d turned away", to.busy-from.busy))
	if requests > 0 {
		w.row("counter calls for a request", "", w.running(doors), []float64{calls / requests},
			fmt.Sprintf("%.0f requests reached all doors", requests))
	}
	if len(w.hollow) > 0 {
		for _, q := range []float64{50, 99} {
			v, all := w.stepped.at(q)
			w.row(fmt.Sprintf("Step of a hollow door, p%.0f", q), "us", len(w.hollow), []float64{v},
				fmt.Sprintf("%d steps with all that came since the one before, %d doors at a time%s", all, simulatedCores, noise))
		}
		late, _ := w.hollowLate.at(99)
		w.row("hollow doors' lateness, p99", "us", len(w.hollow), []float64{late}, "of what was due in their loops"+noise)
		w.row("hollow doors' steps", "1/s", len(w.hollow), []float64{float64(to.hollowSteps-from.hollowSteps) / seconds}, "all together")
	}
	for _, d := range doors {
		if d.proc.ended() {
			w.failure("a door ended under load", "", 1, fmt.Errorf("%s: %v: %s", d.name(), d.proc.cmd.ProcessState, d.proc.log.last()))
		}
	}
}

// addedRow adds a quantile, in percent, of the time that the doors add to a request: of all doors' requests together,
// with the spread of the doors' own.
func (w *fleetRun) addedRow(doors []*realGateway, percent float64, noise string) {
	name := fmt.Sprintf("added by the door, p%.0f", percent)
	v, all := w.added.at(percent)
	if all == 0 {
		w.row(name, "us", len(doors), nil, "no request was served")
		return
	}
	var own []float64
	for _, d := range doors {
		if v, n := d.added.at(percent); n > 0 {
			own = append(own, v)
		}
	}
	w.row(name, "us", len(doors), own, "")
	r := &w.report.Table[len(w.report.Table)-1]
	r.Value, r.How = v, fmt.Sprintf("client's time less the backend's, %d served requests of all real doors%s", all, noise)
}

// connections gathers how many connections backends hold.
type connections struct {
	samples, all, most int64
}

func newConnections() *connections { return &connections{} }

func (c *connections) sample(b *emulator.Backends) {
	alone, all := b.OpenConnections()
	c.samples++
	c.all += all
	for _, n := range alone {
		c.most = max(c.most, n)
	}
}

func (c *connections) mean(backends int) float64 {
	return float64(c.all) / float64(max(1, c.samples)) / float64(backends)
}

// drains drains backends, first one at a time and then a fifth of all in one push, each time those that the real doors
// sent most to, and puts them back. The backends themselves go on serving, so that nothing but the list tells the doors.
func (w *fleetRun) drains(ctx context.Context, doors []*realGateway) error {
	for _, n := range []int{1, min(max(2, w.o.Backends/5), len(w.seen)-1)} {
		if w.o.Drains == 0 || n < 1 {
			continue
		}
		w.progress("%d drains of %d", w.o.Drains, n)
		w.noise()
		var all drained
		for range w.o.Drains {
			if err := w.drainOnce(ctx, n, len(doors), &all); err != nil {
				return err
			}
		}
		w.drainRows(n, doors, &all)
	}
	return nil
}

// drained gathers what some drains gave.
type drained struct {
	inForce, inForceReal []float64 // ms, by drain
	attempts             []float64 // by drain
	rate                 []float64 // attempts a second before, by drain
	read                 []float64 // ms, by drain and real door
	bytes                []float64
}

// drainOnce drains so many backends in one push, and puts them back once all doors must have heard.
func (w *fleetRun) drainOnce(ctx context.Context, n, doors int, to *drained) error {
	w.mu.Lock()
	busiest := make([]int, len(w.seen))
	for i := range busiest {
		busiest[i] = i
	}
	slices.SortStableFunc(busiest, func(a, b int) int { return w.seen[b] - w.seen[a] })
	clear(w.seen)
	w.mu.Unlock()
	changes := make([]emulator.Endpoint, n)
	back := make([]emulator.Endpoint, n)
	d := &drain{backends: make(map[int]bool, n), last: map[int]time.Time{}}
	for k, i := range busiest[:n] {
		back[k], changes[k] = w.members[i], w.members[i]
		changes[k].Status = emulator.Draining
		d.backends[i] = true
	}
	// Which backends come first is told by what has come since the drain before, so their rate is known as well.
	before, _ := w.model.Attempts()
	start := time.Now()
	if err := pause(ctx, attemptRateWindow); err != nil {
		return err
	}
	after, _ := w.model.Attempts()
	rate := 0
	for i := range d.backends {
		rate += after[i] - before[i]
	}
	to.rate = append(to.rate, float64(rate)/time.Since(start).Seconds())

	w.mu.Lock()
	d.at = time.Now()
	w.drain, w.told, w.read = d, nil, nil
	w.mu.Unlock()
	w.catalog.Apply(changes...)
	err := pause(ctx, w.o.drainDuration)
	for end := d.at.Add(readTimeout); err == nil && time.Now().Before(end) && w.reads() < doors; {
		err = pause(ctx, time.Millisecond)
	}
	w.mu.Lock()
	w.drain = nil
	all, real := time.Duration(0), time.Duration(0)
	for rank, at := range d.last {
		all = max(all, at.Sub(d.at))
		if rank < w.o.RealGateways {
			real = max(real, at.Sub(d.at))
		}
	}
	to.inForce, to.inForceReal = append(to.inForce, ms(all)), append(to.inForceReal, ms(real))
	to.attempts = append(to.attempts, float64(d.count))
	for _, t := range w.told {
		to.bytes = append(to.bytes, float64(t.Bytes))
	}
	for _, t := range w.read {
		to.read = append(to.read, ms(t))
	}
	w.mu.Unlock()
	w.catalog.Apply(back...)
	if err != nil {
		return err
	}
	return pause(ctx, pauseBetweenDrains) // else the two changes could be told as one
}

func (w *fleetRun) drainRows(n int, doors []*realGateway, d *drained) {
	what := "drain of one backend"
	if n > 1 {
		what = fmt.Sprintf("drain of %d backends", n)
	}
	rate := 0.0
	for _, v := range d.rate {
		rate += v / float64(len(d.rate))
	}
	how := fmt.Sprintf("from the push to the last first byte at a drained backend, 0: none came; mean of %d; %.1f attempts/s came there before%s",
		len(d.inForce), rate, w.noise())
	w.row(what+", in force at all doors", "ms", w.running(doors), d.inForce, how)
	if len(doors) > 0 {
		w.row(what+", in force at real doors", "ms", len(doors), d.inForceReal, how)
	}
	w.row(what+", attempts after the push", "", w.running(doors), d.attempts, "of all doors, by drain")
	if len(doors) > 0 {
		w.row(what+", read by the door", "ms", len(doors), d.read,
			fmt.Sprintf("from the agent's write until the door's socket is empty, by %s, %d seen", w.readBy, len(d.read)))
		w.row(what+", line of the watch", "bytes", len(doors), d.bytes, fmt.Sprintf("%d seen", len(d.bytes)))
	}
}

// reads returns how many doors have read the change that is being watched.
func (w *fleetRun) reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.read)
}

// restarts kills a real door and starts it again, with the whole list known and with none.
func (w *fleetRun) restarts(ctx context.Context, doors []*realGateway) error {
	if w.o.Restarts == 0 || len(doors) == 0 {
		return ctx.Err()
	}
	d := doors[0]
	for _, known := range []bool{true, false} {
		name, how := "time to ready after SIGKILL, list known", "from fork to +PONG, the whole list in known"
		if !known {
			name, how = "time to ready after SIGKILL, list unknown", "from fork to +PONG, the whole list from the agent"
		}
		w.progress("%d restarts: %s", w.o.Restarts, how)
		w.noise()
		var times []float64
		var failed error
		for range w.o.Restarts {
			if err := d.proc.kill(); err != nil {
				return err
			}
			took, err := d.start(ctx, known)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				failed = err
				break
			}
			times = append(times, ms(took))
		}
		if failed != nil {
			w.failure(name, "ms", 1, failed)
			continue
		}
		w.row(name, "ms", 1, times, fmt.Sprintf("%s, mean of %d%s", how, len(times), w.noise()))
	}
	return nil
}

// endDoors ends the real doors as a planned restart would.
func (w *fleetRun) endDoors(doors []*realGateway) {
	w.progress("SIGTERM to the real doors")
	times := make([]time.Duration, len(doors))
	errs := make([]error, len(doors))
	var wait sync.WaitGroup
	for i, d := range doors {
		d.clients.Close()
		wait.Go(func() { times[i], errs[i] = d.proc.end(terminateTimeout) })
	}
	wait.Wait()
	var took []float64
	for i, d := range doors {
		if errs[i] != nil {
			w.failure("end after SIGTERM", "ms", 1, fmt.Errorf("%s: %w", d.name(), errs[i]))
			continue
		}
		took = append(took, ms(times[i]))
	}
	if len(took) > 0 {
		w.row("end after SIGTERM", "ms", len(took), took, "no request open; new connections are taken for 500 ms")
	}
}

// pause waits, but not beyond the context's end, whose error it returns.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }
