// Package policy makes the decisions of one gateway that meters many tenants' use of one shared service:
// which requests are forwarded, to which backend, when and how often, and which are rejected.
//
// # Events and actions
//
// An [Engine] does no input or output, starts no goroutine and reads no clock. The caller reports what
// happened as [Event] values (event.go) and carries out the returned [Action] values (action.go) in
// order. All times are time.Duration values on the caller's clock, which may start at any value and must
// not go backwards. The same [Settings], seed and events always produce the same actions. An Engine is
// not safe for concurrent use. Engines share no state except the counter, which they access through
// [AddToCounter].
//
// Each [Request] gets one final answer: the result of the attempt that closes it, a [Reject] or a
// [Fail]. The caller guarantees one [AttemptResult] for each [SendAttempt], even after a
// [CancelAttempt], one [CounterResult] for each [AddToCounter], one [HealthCheckResult] for each
// [HealthCheck], and one [Timer] for each [SetTimer].
//
// # The path of a request
//
//	Request
//	  admit           admission.go      computes the deadline budget; checks that the gateway is in service,
//	  |                                 that an answer can arrive in time, and that the tenant's queue for
//	  |                                 its hard limit is short enough
//	  serve           admission.go      takes the tenant's requests in order until one must wait
//	  decideQuota     admission.go      checks the concurrency limit and the hard limit, sets the priority
//	  |                                 level; then payCost (quota.go) pays from the lease, from fallback
//	  |                                 tokens, or after a call to the counter
//	  dispatch        dispatch.go       picks a backend with choose (selection.go); checks for overload
//	  priority queue  priorityqueue.go
//	  sendQueued      dispatch.go       runs when a backend has a free slot: selects the next request
//	  |                                 (nextRequest) and rejects stale ones
//	  send            attempt.go        makes the final checks
//	SendAttempt
//	AttemptResult
//	  attemptEnded    attempt.go
//	  recordResult    result.go         updates the state of the backend
//	  retry           retry.go          sends the request back to dispatch
//	  endRequest      requestend.go     cancels attempts in flight, returns what the request holds
//
// If no backend is usable and the request can't have run yet, it is kept as unplaced, and the periodic
// check dispatches it again. Whichever rule rejects a request calls reject (rejection.go) with a
// [RejectReason]; the one exception is a request of an unknown class or plan, which admit answers
// itself. The head of rejection.go lists the order of the rules. When a request ends, what it holds is
// returned, which may let other requests of its tenant proceed; reject can therefore lead to dispatch.
// Independently of this path, a request also ends when its timer fires (deadlinePassed), when its client
// disconnects (clientGone), and by suspend.
//
// # Where each rule is implemented
//
//	which requests proceed                               admission.go
//	their priority levels                                priority.go
//	a tenant's concurrency limit                         maxconcurrent.go
//	a tenant's quota over all gateways                   quota.go, countercalls.go, packages lease, callshare
//	a tenant's hard limit over all gateways              hardlimit.go, package hardlimit
//	why a request is rejected                            rejection.go
//	what a request returns when it ends                  requestend.go
//	which tenants are tracked                            tenants.go
//	concurrency limit per backend                        result.go, package concurrency
//	expected latency                                     package latency
//	throughput of a warm backend                         package throughput
//	ejecting and restoring backends                      outlier.go, package outlier
//	slow start of a started backend                      slowstart.go, package slowstart
//	the list of backends                                 endpoints.go
//	what may be sent while the list is outdated          endpointsync.go
//	the subset that this gateway uses                    subset.go, package internal/subset
//	the backend for a request                            selection.go
//	what is rejected under overload                      dispatch.go
//	what may be retried, and where                       retry.go
//	what no event signals                                periodic.go
//
// Each of these parts owns its state: the packages, and the types endpointRegistry, endpointPolling,
// backendSubset, slowStarts, checkList, priorityQueues, tenantRegistry, counterCalls and callEstimates,
// of which the Engine is composed. The Engine's methods implement what involves several of them, in the
// order of events. All random numbers come from the Engine's single source.
//
// The algorithm follows J. Andersson and M. Kihl, "Load Balancing and Admission Control of a Parlay X
// Application Server", NTS 17, 2004, sections 3.1 and 4, adapted from one load balancer to many gateways.
// Where a rule differs from the paper, its comment says "Unlike the paper" or "Unlike in the paper", and why.
package policy
