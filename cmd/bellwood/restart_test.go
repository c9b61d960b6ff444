package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// restartTraffic is how long the clients of these tests send requests, from the start of the process. They go on for up to
// maxReadyTime if none has been served yet.
const restartTraffic = 1500 * time.Millisecond

// A gateway restarts while backends drain, and discovery's answer is slow to arrive. What discovery has counts as notified
// from the start of the process.
func TestRestartedGatewaySendsNothingToDrainedBackendsWhileDiscoveryIsSlow(t *testing.T) {
	test := newRestartTest(t, 8)
	test.answerDelay = 700 * time.Millisecond
	test.run()
	test.wantNoLateDrainedRequest()
	test.wantServed()
}

// A gateway with little processor time restarts before thousands of backends, many of which drain.
func TestRestartedGatewayOfALargeFleetSendsNothingToDrainedBackends(t *testing.T) {
	test := newRestartTest(t, 3200)
	test.throttled = !raceDetector
	test.run()
	test.wantNoLateDrainedRequest()
	test.wantServed()
}

// Guards against requests by a list of unknown age: a gateway restarts while discovery is down. It is ready in time all the
// same, but sends nothing, neither to what drains nor to what only seems to be in service, until discovery is back.
func TestGatewayThatStartsWhileDiscoveryIsDownSendsNothing(t *testing.T) {
	test := newRestartTest(t, 8)
	test.silentFor = maxReadyTime + time.Second
	test.run()
	test.wantNoLateDrainedRequest()
	for _, after := range test.serving.requests(test.startedAt) {
		if after < test.silentFor {
			t.Errorf("a request was sent %v after the start, by a list that discovery has not confirmed", after)
			break
		}
	}
	test.wantServed()
	if test.readyAfter == 0 || test.readyAfter > maxReadyTime {
		t.Errorf("ready %v after the start, want at most %v", test.readyAfter, maxReadyTime)
	}
}

// restartTest starts a gateway process whose configuration lists backends of which every other one drains, according to
// discovery, since before the start. Clients send requests as soon as the process listens.
type restartTest struct {
	t           *testing.T
	backends    int
	answerDelay time.Duration // of discovery's first answer
	silentFor   time.Duration // discovery answers no call for this long after the start of the process
	throttled   bool          // the process gets a part of a core only

	serving, draining *recordingBackend
	agent             string
	startedAt         time.Time
	readyAfter        time.Duration // from the start of the process to its first PONG
}

func newRestartTest(t *testing.T, backends int) *restartTest {
	test := &restartTest{t: t, backends: backends, serving: startRecordingBackend(t), draining: startRecordingBackend(t)}
	agent := httptest.NewServer(http.HandlerFunc(test.serveAgent))
	t.Cleanup(agent.Close)
	t.Cleanup(agent.CloseClientConnections)
	test.agent = strings.TrimPrefix(agent.URL, "http://")
	return test
}

// endpoints returns the list with the given status of the draining backends.
func (test *restartTest) endpoints(status string) (entries []map[string]any) {
	for i := range test.backends {
		if i%2 == 1 {
			entries = append(entries, listEntry(i, test.draining.address, status))
		} else {
			entries = append(entries, listEntry(i, test.serving.address, "SERVING"))
		}
	}
	return entries
}

// serveAgent answers a watch with the whole list.
func (test *restartTest) serveAgent(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(test.answerDelay)
	select {
	case <-time.After(time.Until(test.startedAt.Add(test.silentFor))):
	case <-r.Context().Done():
		return
	}
	json.NewEncoder(rw).Encode(map[string]any{"index": 2, "snapshot": true, "endpoints": test.endpoints("DRAINING")})
	rw.(http.Flusher).Flush()
	<-r.Context().Done()
}

// run starts the process and sends requests to it.
func (test *restartTest) run() {
	t := test.t
	t.Helper()
	address := freeAddr(t)
	var log syncBuffer
	known := map[string]any{"index": 1, "snapshot": true, "endpoints": test.endpoints("SERVING")}
	test.startedAt = time.Now()
	process := startListedGateway(t, address, test.agent, known, &log)
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	if test.throttled {
		clients.Go(func() { throttle(ctx, process.Process) })
	}
	for i := range 4 {
		clients.Go(func() { sendRequests(ctx, address, i) })
	}
	clients.Go(func() { test.readyAfter = awaitPong(ctx, address, test.startedAt) })
	time.Sleep(test.silentFor + restartTraffic)
	for time.Since(test.startedAt) < test.silentFor+maxReadyTime && len(test.serving.requests(test.startedAt)) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	clients.Wait()
	process.Process.Kill()
	process.Wait()
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
}

// wantNoLateDrainedRequest checks that no request was sent to a draining backend after drainDeadline.
func (test *restartTest) wantNoLateDrainedRequest() {
	test.t.Helper()
	late := 0
	var last time.Duration
	for _, after := range test.draining.requests(test.startedAt) {
		if after > drainDeadline {
			late++
		}
		last = max(last, after)
	}
	if late > 0 {
		test.t.Errorf("%d requests reached draining backends later than %v after the start, the last after %v", late,
			drainDeadline, last)
	}
}

// wantServed checks that the other backends were used.
func (test *restartTest) wantServed() {
	test.t.Helper()
	if len(test.serving.requests(test.startedAt)) == 0 {
		test.t.Error("no request was sent to a backend in service")
	}
}
