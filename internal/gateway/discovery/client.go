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

// By the operators' rule a change counts as told 6 s after discovery had it and could be reached, whatever became of a
// call. Two calls in a row that come to nothing, with the pauses behind them, take 5.5 s at most.
const (
	// watchSilence ends a watch that gives no sign of life; the agent gives one every 2 s.
	watchSilence = 2500 * time.Millisecond
	// fetchSilence ends a call for the whole list, which the agent has at once.
	fetchSilence = 2 * time.Second
	// rewatchPause is the pause behind a watch that ended. A backend that drains is told as soon as the agent has it,
	// and nothing may be sent to it 250 ms later: so the pause is short.
	rewatchPause = 50 * time.Millisecond
	// maxRewatchPause bounds the pause, which doubles from watch to watch while the agent's responses are malformed.
	maxRewatchPause = 250 * time.Millisecond
	// dialTimeout bounds the making of a connection to the agent.
	dialTimeout = time.Second
)

// MaxConns is how many connections to one address of the agent there are at most, as each takes a descriptor.
const MaxConns = 4

// ErrNotSnapshot says that the response to a call for the whole list had only changes.
var ErrNotSnapshot = errors.New("not a snapshot")

// StatusError says that the agent's response to a call has another HTTP status than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "HTTP status " + e.Status }

// CallError says which call to the agent came to nothing. It unwraps to the reason: a *StatusError, ErrMalformed,
// ErrNotSnapshot, ErrSuperseded, or an error of the network or the context, which the silence ends.
type CallError struct {
	Call    string // "watch" or "fetch"
	Address string // of the agent
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("discovery %s at %s: %v", e.Call, e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// Options say what a Client has at its start.
type Options struct {
	Address string   // of the agent: IP address and port
	Index   int64    // of the list that the gateway knows; 0: none
	Zones   []string // names, in the order of policy.Backend.Zone
	Kinds   []string // names, in the order of policy.Backend.Kind
	Log     *slog.Logger

	Silence time.Duration // after which a call is dead, a fetch after 2 s at the latest; 0: 2.5 s
	// Dial makes a connection to the agent; nil: by TCP, within a second.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client follows the endpoint list of one discovery agent. The event loop's goroutine owns it, see the package comment.
type Client struct {
	loop    EventLoop
	log     *slog.Logger
	http    *http.Client
	silence time.Duration // of a watch
	table   *table
	address string
	index   int64 // of the list or change applied last
	// following is cancelled when the client follows another agent, or the same one anew. What a call that began under it
	// reads later is not applied: the next watch brings it, from the index that the loop has. It is cancelled on the loop
	// and looked at there, so no part of a superseded list can come behind the first one of its successor.
	following context.Context
	unfollow  context.CancelFunc
}

// New returns a Client that knows no endpoint and makes no call yet.
func New(loop EventLoop, options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{loop: loop, log: options.Log,
		http:    &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: MaxConns}},
		silence: cmp.Or(options.Silence, watchSilence), address: options.Address, index: options.Index,
		table: newTable(endpoint.Names{Zones: options.Zones, Kinds: options.Kinds}, options.Log, loop.EndpointChanged)}
	c.following, c.unfollow = context.WithCancel(context.Background())
	return c
}

// Address returns the agent's address.
func (c *Client) Address() string { return c.address }

// Index returns the index of the list or change that was applied last.
func (c *Client) Index() int64 { return c.index }

// Knows says whether a backend of this name is known, in whatever state.
func (c *Client) Knows(name string) bool { return c.table.byName[name] != nil }

// Len returns how many backends are known, in whatever state.
func (c *Client) Len() int { return len(c.table.backends) }

// Follow begins to watch the agent at an address, from the index applied last, and ends the watch before it.
func (c *Client) Follow(address string) {
	c.unfollow()
	c.address = address
	c.following, c.unfollow = context.WithCancel(context.Background())
	go c.keepWatching(c.following, address, c.index)
}

// Stop ends the watch for good.
func (c *Client) Stop() { c.unfollow() }

// Fetch gets the whole list once, for an engine that polls. It moves no index, so the watch still brings all that it
// would have brought. Where it fails, the engine is told so and polls again.
func (c *Client) Fetch() {
	c.fetch(func(_ endpoint.List, err error) {
		if err != nil {
			c.loop.Update(policy.EndpointUpdate{Kind: policy.UpdateFailed})
		}
	})
}

// FetchAndFollow gets the whole list once and, if it has another index than the one applied last, opens a new watch from
// there. It calls done on the loop, at the end, with whether the list was applied.
func (c *Client) FetchAndFollow(done func(applied bool)) {
	c.fetch(func(list endpoint.List, err error) {
		if err == nil && list.Index != c.index {
			c.adopt(list)
			c.Follow(c.address)
		}
		done(err == nil)
	})
}

// Apply takes an endpoint list or changes that do not come from the agent, all at once, as an update of the given
// kind. It moves no index.
func (c *Client) Apply(endpoints []endpoint.Entry, kind policy.UpdateKind) {
	list := c.table.open()
	changes := c.table.apply(list, endpoints)
	for last := kind != policy.Snapshot; !last; {
		var terminated []policy.Backend
		terminated, last = c.table.terminateUnnamed(list)
		changes = append(changes, terminated...)
	}
	c.table.close(list)
	if kind == policy.Snapshot {
		kind = policy.Delta // the changes name what the snapshot lacks, too
	}
	c.loop.Update(policy.EndpointUpdate{Kind: kind, Backends: changes})
	c.reportReachable()
}

// ReadList reads one list or change from a stream and has the loop apply it, as it does with the agent's responses; it
// moves no index. It blocks while the loop applies it, so any goroutine but the loop's may call it. Measurements of the
// loop use it.
func (c *Client) ReadList(body io.Reader) error {
	silence := startSilenceTimer(c.silence, func() {})
	defer silence.suspend()
	_, err := c.newReceiver(body, silence).next()
	return err
}

// Sweep takes some of the terminated backends out of memory. The loop calls it each second.
func (c *Client) Sweep() { c.table.removeTerminated() }

// update tells the engine of changes, if there are any.
func (c *Client) update(changes []policy.Backend) {
	if len(changes) > 0 {
		c.loop.Update(policy.EndpointUpdate{Kind: policy.Delta, Backends: changes})
	}
}

// adopt notes that a list or change from the agent has been applied to its end.
func (c *Client) adopt(list endpoint.List) {
	c.index = list.Index
	c.loop.Adopted(list.Index, list.Snapshot)
}

// reportReachable tells the loop that requests can be served, if a backend has ever been in service. It is called when a
// list has been applied to its end.
func (c *Client) reportReachable() {
	if c.table.everInService {
		c.loop.Reachable()
	}
}

// keepWatching opens one watch after another until the context ends.
func (c *Client) keepWatching(ctx context.Context, address string, index int64) {
	pause := rewatchPause
	for ctx.Err() == nil {
		var err error
		index, err = c.watch(ctx, address, index)
		pause = nextPause(pause, err)
		c.log.Debug("discovery watch ended", slog.Any("error", &CallError{"watch", address, err}))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// nextPause is how long to wait behind a watch that ended with an error; last is the pause before that watch.
func nextPause(last time.Duration, err error) time.Duration {
	if errors.Is(err, ErrMalformed) {
		return min(2*last, maxRewatchPause)
	}
	return rewatchPause
}

// watch reads one watch from an index on until it ends, and returns the index that it has come to and why it ended.
func (c *Client) watch(following context.Context, address string, index int64) (int64, error) {
	ctx, cancel := context.WithCancel(following)
	defer cancel()
	silence := startSilenceTimer(c.silence, cancel)
	defer silence.suspend()
	body, err := c.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", membersURL(address), index))
	if err != nil {
		return index, err
	}
	defer body.Close()
	receiver := c.newReceiver(body, silence)
	receiver.wanted = func() bool { return following.Err() == nil }
	receiver.applied = c.adopt
	for {
		list, err := receiver.next()
		if err != nil {
			return index, err
		}
		index = list.Index
	}
}

func membersURL(address string) string { return "http://" + address + "/catalog/members" }

// get returns the body of the agent's response; the caller closes it.
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

// fetch gets the whole list once. It calls done on the loop when the list has been applied, or with the error. If the
// client follows another agent meanwhile the call itself goes on, but its list is not applied.
func (c *Client) fetch(done func(endpoint.List, error)) {
	list, address, following := c.table.open(), c.address, c.following
	go func() {
		if err := c.readSnapshot(address, list, following, done); err != nil {
			c.log.Debug("endpoint list not fetched", slog.Any("error", &CallError{"fetch", address, err}))
			c.loop.Post(func() {
				c.table.close(list)
				done(endpoint.List{}, err)
			})
		}
	}()
}

// readSnapshot calls the agent for the whole list, and done on the loop once it has been applied.
func (c *Client) readSnapshot(address string, list *openList, following context.Context,
	done func(endpoint.List, error)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silence := startSilenceTimer(min(c.silence, fetchSilence), cancel)
	defer silence.suspend()
	body, err := c.get(ctx, membersURL(address))
	if err != nil {
		return err
	}
	defer body.Close()
	receiver := c.newReceiver(body, silence)
	receiver.list = list
	receiver.wanted = func() bool { return following.Err() == nil }
	snapshot := false
	receiver.applied = func(list endpoint.List) {
		if snapshot = list.Snapshot; snapshot {
			done(list, nil)
		}
	}
	if _, err = receiver.next(); err == nil && !snapshot {
		err = ErrNotSnapshot
	}
	return err
}
