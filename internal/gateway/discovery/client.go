package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// The operators require the gateway to act on a change within 6 s after discovery had it and was reachable, even if
// individual calls fail. With the timeouts below, two failed calls in a row and the delays after them take at most
// 5.5 s.
const (
	// watchIdleTimeout ends a watch on which nothing is received; the agent sends a keepalive every 2 s.
	watchIdleTimeout = 2500 * time.Millisecond
	// fetchIdleTimeout ends a fetch on which nothing is received; the agent can respond to a fetch immediately.
	fetchIdleTimeout = 2 * time.Second
	// reconnectDelay is the delay between the end of a watch and the next one. It is short because the agent reports a
	// draining backend immediately, and nothing may be sent to that backend 250 ms later.
	reconnectDelay = 50 * time.Millisecond
	// maxReconnectDelay bounds the delay, which doubles with each watch in a row that ended with a malformed response.
	maxReconnectDelay = 250 * time.Millisecond
	// dialTimeout is the timeout for connecting to the agent.
	dialTimeout = time.Second
)

// MaxConns is the maximum number of connections to one address of the agent. Each takes a file descriptor.
const MaxConns = 4

// ErrNotSnapshot is returned if the response to a fetch contains changes instead of a full list.
var ErrNotSnapshot = errors.New("response is not a snapshot")

// StatusError is returned if the agent responds with an HTTP status other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "HTTP status " + e.Status }

// CallError describes a failed call to the agent. It unwraps to the cause: a *StatusError, ErrMalformed, ErrNotSnapshot,
// ErrSuperseded, a network error, or context.Canceled, also after an idle timeout.
type CallError struct {
	Call    string // "watch" or "fetch"
	Address string // the agent's
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("discovery %s at %s: %v", e.Call, e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// Options configure a Client.
type Options struct {
	Address string   // the agent's IP address and port
	Index   int64    // index of the list that the gateway already has; 0: none
	Zones   []string // names, in the order of policy.Backend.Zone
	Kinds   []string // names, in the order of policy.Backend.Kind
	Log     *slog.Logger

	// IdleTimeout is the time after which a call that receives nothing is ended; 0: 2.5 s. A fetch ends after at most 2 s.
	IdleTimeout time.Duration
	// Dial connects to the agent; nil: TCP with a timeout of one second.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client follows the endpoint list of a discovery agent. It is owned by the event loop's goroutine; see the package
// comment.
type Client struct {
	loop             EventLoop
	log              *slog.Logger
	http             *http.Client
	watchIdleTimeout time.Duration // also limits the idle timeout of a fetch
	table            *table
	address          string
	index            int64 // of the last list or change applied
	watchBehind      bool  // a list or change from the watch has begun and has not been applied
	// followCtx is cancelled by Follow and Stop. Entries that a call started under it reads afterwards are not applied; the
	// next watch delivers them, as it starts from the index applied last. The context is both cancelled and checked on the
	// event loop, so no batch of a superseded list is applied after the first batch of its successor.
	followCtx    context.Context
	cancelFollow context.CancelFunc
}

// New returns a Client with an empty table. It makes no calls until Follow or a fetch.
func New(loop EventLoop, options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{loop: loop, log: options.Log,
		http:             &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: MaxConns}},
		watchIdleTimeout: cmp.Or(options.IdleTimeout, watchIdleTimeout), address: options.Address, index: options.Index,
		table: newTable(endpoint.Names{Zones: options.Zones, Kinds: options.Kinds}, options.Log, loop.EndpointChanged)}
	c.followCtx, c.cancelFollow = context.WithCancel(context.Background())
	return c
}

// Address returns the agent's address.
func (c *Client) Address() string { return c.address }

// Index returns the index of the last list or change applied.
func (c *Client) Index() int64 { return c.index }

// HasBackend reports whether the table has a backend with this name, in any state.
func (c *Client) HasBackend(name string) bool { return c.table.byName[name] != nil }

// BackendCount returns the number of backends in the table, in any state.
func (c *Client) BackendCount() int { return len(c.table.backends) }

// Follow ends the current watch and starts watching the agent at an address, from the index applied last.
func (c *Client) Follow(address string) {
	c.cancelFollow()
	c.address = address
	c.followCtx, c.cancelFollow = context.WithCancel(context.Background())
	go c.watchUntilCancelled(c.followCtx, address, c.index)
}

// Stop ends the watch, which is then not reopened.
func (c *Client) Stop() { c.cancelFollow() }

// Fetch gets the full list once, for an engine that polls. It does not advance the index, so it does not affect what the
// watch delivers. If it fails, the engine receives policy.UpdateFailed and polls again.
func (c *Client) Fetch() {
	c.fetch(func(_ endpoint.List, err error) {
		if err != nil {
			c.loop.EmitUpdate(policy.EndpointUpdate{Kind: policy.UpdateFailed})
		}
	})
}

// FetchAndFollow gets the full list once. If its index differs from the one applied last, it starts a new watch from that
// index. At the end it calls done on the event loop and reports whether the list was applied.
func (c *Client) FetchAndFollow(done func(applied bool)) {
	c.fetch(func(list endpoint.List, err error) {
		if err == nil && list.Index != c.index {
			c.recordApplied(list)
			c.Follow(c.address)
		}
		done(err == nil)
	})
}

// Apply applies an endpoint list or changes from a source other than the agent, in a single update. The update is of the
// given kind, except that a snapshot is reported as changes (policy.Delta). Apply does not advance the index.
func (c *Client) Apply(endpoints []endpoint.Entry, kind policy.UpdateKind) {
	list := c.table.open()
	changes := c.table.apply(list, endpoints)
	for last := kind != policy.Snapshot; !last; {
		var terminated []policy.Backend
		terminated, last = c.table.terminateMissing(list)
		changes = append(changes, terminated...)
	}
	c.table.close(list)
	if kind == policy.Snapshot {
		kind = policy.Delta // changes also contains the backends that the snapshot lacks
	}
	c.loop.EmitUpdate(policy.EndpointUpdate{Kind: kind, Backends: changes})
	c.reportReady()
}

// ReadList reads one list or change from a stream and has the event loop apply it like a response of the agent, but
// without advancing the index. It blocks until the loop has applied the list, so it must not be called on the loop. It
// exists for measurements of the loop.
func (c *Client) ReadList(body io.Reader) error {
	idle := startIdleTimer(c.watchIdleTimeout, func() {})
	defer idle.stop()
	_, err := c.newReceiver(body, idle).next()
	return err
}

// RemoveTerminated removes a batch of the terminated backends from the table. The event loop calls it every second.
func (c *Client) RemoveTerminated() { c.table.removeTerminated() }

// update reports changes to the engine, if there are any.
func (c *Client) update(changes []policy.Backend) {
	if len(changes) > 0 {
		c.loop.EmitUpdate(policy.EndpointUpdate{Kind: policy.Delta, Backends: changes})
	}
}

// recordApplied advances the index after a list or change from the agent has been applied completely.
func (c *Client) recordApplied(list endpoint.List) {
	c.index = list.Index
	c.loop.ListApplied(list.Index, list.Snapshot)
}

// reportReady reports to the loop that requests can be served, if any backend has ever been in service. It is called
// after a list has been applied completely.
func (c *Client) reportReady() {
	if c.table.everInService {
		c.loop.Ready()
	}
}

// watchUntilCancelled opens watches, one after another, until the context is cancelled.
func (c *Client) watchUntilCancelled(ctx context.Context, address string, index int64) {
	delay := reconnectDelay
	var lostAt time.Time
	for failures := 0; ctx.Err() == nil; failures++ {
		var applied bool
		var err error
		index, applied, err = c.watch(ctx, address, index, lostAt)
		if applied {
			failures = 0
		}
		if applied || lostAt.IsZero() {
			lostAt = time.Now()
		}
		if applied && !errors.Is(err, context.Canceled) {
			c.reportLost(ctx, lostAt)
		}
		delay = nextReconnectDelay(delay, err)
		c.logWatchEnd(failures, &CallError{"watch", address, err})
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// reportLost reports to the loop that a watch was ended by the agent or the network: the next one may bring changes that the
// agent has since then. The idle timeout is no such end, as a silent agent has nothing new.
func (c *Client) reportLost(ctx context.Context, lostAt time.Time) {
	c.loop.Post(func() {
		if ctx.Err() == nil {
			c.loop.EndpointsBehind(policy.WatchEnded, lostAt)
		}
	})
}

// logWatchEnd logs why a watch ended. failures is the number of watches before it that ended without a list; during an
// outage only the first of them is logged at the default level.
func (c *Client) logWatchEnd(failures int, err *CallError) {
	level := slog.LevelDebug
	if failures == 0 {
		level = slog.LevelInfo
	}
	c.log.LogAttrs(context.Background(), level, "discovery watch ended", slog.Any("error", err))
}

// nextReconnectDelay returns the delay after a watch that ended with err; last is the delay before that watch.
func nextReconnectDelay(last time.Duration, err error) time.Duration {
	if errors.Is(err, ErrMalformed) {
		return min(2*last, maxReconnectDelay)
	}
	return reconnectDelay
}

// watch opens a watch from an index and applies its lists until it ends. lostAt is when the watch before ended; zero: there
// was none. It returns the index of the last list applied, whether any was, and the reason for the end.
func (c *Client) watch(followCtx context.Context, address string, index int64, lostAt time.Time) (last int64, applied bool,
	err error) {
	ctx, cancel := context.WithCancel(followCtx)
	defer cancel()
	idle := startIdleTimer(c.watchIdleTimeout, cancel)
	defer idle.stop()
	calledAt := time.Now()
	body, err := c.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", endpointsURL(address), index))
	if err != nil {
		return index, false, err
	}
	defer body.Close()
	c.log.Info("discovery watch opened", slog.String("address", address), slog.Int64("index", index),
		slog.Duration("after", time.Since(calledAt)))
	receiver := c.newReceiver(body, idle)
	receiver.isWatch, receiver.lostAt = true, lostAt
	receiver.stillWanted = func() bool { return followCtx.Err() == nil }
	receiver.onApplied = c.recordApplied
	for {
		list, err := receiver.next()
		if err != nil {
			return index, applied, err
		}
		index, applied = list.Index, true
	}
}

func endpointsURL(address string) string { return "http://" + address + "/catalog/members" }

// get returns the body of the agent's response. The caller must close it.
func (c *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{response.Status}
	}
	return response.Body, nil
}

// fetch gets the full list once and calls done on the loop when the list has been applied or the fetch has failed. If
// Follow is called in the meantime, the call itself continues but its list is not applied.
func (c *Client) fetch(done func(endpoint.List, error)) {
	list, address, followCtx := c.table.open(), c.address, c.followCtx
	go func() {
		if err := c.readSnapshot(address, list, followCtx, done); err != nil {
			c.log.Debug("fetching the endpoint list failed", slog.Any("error", &CallError{"fetch", address, err}))
			c.loop.Post(func() {
				c.table.close(list)
				done(endpoint.List{}, err)
			})
		}
	}()
}

// readSnapshot requests the full list from the agent and calls done on the loop once it has been applied.
func (c *Client) readSnapshot(address string, list *openList, followCtx context.Context,
	done func(endpoint.List, error)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := startIdleTimer(min(c.watchIdleTimeout, fetchIdleTimeout), cancel)
	defer idle.stop()
	body, err := c.get(ctx, endpointsURL(address))
	if err != nil {
		return err
	}
	defer body.Close()
	receiver := c.newReceiver(body, idle)
	receiver.list = list
	receiver.stillWanted = func() bool { return followCtx.Err() == nil }
	snapshot := false
	receiver.onApplied = func(list endpoint.List) {
		if snapshot = list.Snapshot; snapshot {
			done(list, nil)
		}
	}
	if _, err = receiver.next(); err == nil && !snapshot {
		err = ErrNotSnapshot
	}
	return err
}
