package fleetsim

import "fmt"

// forwardedAtOnceWithin is the wait up to which a request counts as forwarded at once. A call to the counter and its answer
// fit in.
const forwardedAtOnceWithin = 10 * ms

// requestTotals counts what became of requests, counter calls and attempts. Once nothing is open any more, Requests add up to
// Served, Rejected and Failed, and Attempts to Results.
type requestTotals struct {
	Requests        int // that came
	Forwarded       int // with one attempt or more
	ForwardedAtOnce int // whose first attempt went out within forwardedAtOnceWithin
	Served          int
	Rejected        int
	Failed          int

	Attempts        int
	Results         int // of attempts
	AtClosedBackend int // attempts that failed since their backend had closed

	CounterAdds         int // counter calls with an amount above 0
	CounterSubtractions int // all other counter calls: they subtract, as corrections and what is given back do
}

// CounterCalls is the number of counter calls.
func (t *requestTotals) CounterCalls() int { return t.CounterAdds + t.CounterSubtractions }

// Add adds another's counts.
func (t *requestTotals) Add(o requestTotals) {
	t.Requests += o.Requests
	t.Forwarded += o.Forwarded
	t.ForwardedAtOnce += o.ForwardedAtOnce
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Attempts += o.Attempts
	t.Results += o.Results
	t.AtClosedBackend += o.AtClosedBackend
	t.CounterAdds += o.CounterAdds
	t.CounterSubtractions += o.CounterSubtractions
}

// Check says what does not add up, of totals with nothing open.
func (t *requestTotals) Check() error {
	switch {
	case t.Requests != t.Served+t.Rejected+t.Failed:
		return fmt.Errorf("%d requests, but %d served, %d rejected and %d failed", t.Requests, t.Served, t.Rejected, t.Failed)
	case t.Attempts != t.Results:
		return fmt.Errorf("%d attempts, but %d results", t.Attempts, t.Results)
	}
	return nil
}

// servedShare is the share of the requests that were served.
func (t *requestTotals) servedShare() float64 { return t.shareOfRequests(t.Served) }

// shareOfRequests is a count over the number of requests; 0 if none came.
func (t *requestTotals) shareOfRequests(count int) float64 {
	return float64(count) / float64(max(1, t.Requests))
}

// tally counts by phases of a run: requests and their attempts by the phase in which the request came, counter calls by
// that in which they were made.
type tally struct {
	phase   int // that runs
	byPhase []requestTotals
}

func (t *tally) now() *requestTotals { return &t.byPhase[t.phase] }

// of returns the totals that a request counts in.
func (t *tally) of(r *request) *requestTotals { return &t.byPhase[r.phase] }

// sum adds up the phases.
func (t *tally) sum() (all requestTotals) {
	for _, phase := range t.byPhase {
		all.Add(phase)
	}
	return all
}
