package fleetsim

import "fmt"

// maxImmediateWait is the longest wait for the first attempt with which a request counts as forwarded immediately. It leaves
// time for a call to the counter.
const maxImmediateWait = 10 * ms

// requestTotals counts requests by outcome, attempts and counter calls. Once no request is open, Requests equals the sum of
// Served, Rejected and Failed, and Attempts equals Results.
type requestTotals struct {
	Requests             int // received
	Forwarded            int // with at least one attempt
	ForwardedImmediately int // with the first attempt sent within maxImmediateWait
	Served               int
	Rejected             int
	Failed               int

	Attempts              int
	Results               int // of attempts
	FailedAtClosedBackend int // attempts that failed because their backend had closed

	CounterAdds         int // counter calls with an amount above 0
	CounterSubtractions int // all other counter calls: corrections and returned units, which subtract
}

// CounterCalls returns the number of all counter calls.
func (t *requestTotals) CounterCalls() int { return t.CounterAdds + t.CounterSubtractions }

// Add adds the counts of o.
func (t *requestTotals) Add(o requestTotals) {
	t.Requests += o.Requests
	t.Forwarded += o.Forwarded
	t.ForwardedImmediately += o.ForwardedImmediately
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Attempts += o.Attempts
	t.Results += o.Results
	t.FailedAtClosedBackend += o.FailedAtClosedBackend
	t.CounterAdds += o.CounterAdds
	t.CounterSubtractions += o.CounterSubtractions
}

// Check returns an error if the counts are inconsistent. It expects that no request is open.
func (t *requestTotals) Check() error {
	switch {
	case t.Requests != t.Served+t.Rejected+t.Failed:
		return fmt.Errorf("%d requests, but %d served, %d rejected and %d failed", t.Requests, t.Served, t.Rejected, t.Failed)
	case t.Attempts != t.Results:
		return fmt.Errorf("%d attempts, but %d results", t.Attempts, t.Results)
	}
	return nil
}

// servedShare returns the share of the requests that were served.
func (t *requestTotals) servedShare() float64 { return t.shareOfRequests(t.Served) }

// shareOfRequests returns a count divided by the number of requests. Without requests the divisor is 1.
func (t *requestTotals) shareOfRequests(count int) float64 {
	return float64(count) / float64(max(1, t.Requests))
}

// phaseTotals holds the totals of each phase of a run. Requests and their attempts count in the phase in which the request
// arrived, counter calls in the phase in which they were made.
type phaseTotals struct {
	phase   int // current phase
	byPhase []requestTotals
}

func (t *phaseTotals) current() *requestTotals { return &t.byPhase[t.phase] }

// forRequest returns the totals of the phase in which a request arrived.
func (t *phaseTotals) forRequest(r *request) *requestTotals { return &t.byPhase[r.phase] }

// sum returns the totals of all phases together.
func (t *phaseTotals) sum() (all requestTotals) {
	for _, phase := range t.byPhase {
		all.Add(phase)
	}
	return all
}
