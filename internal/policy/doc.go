// Package policy makes the decisions of one gateway that meters many tenants' use of one shared service:
// which requests are forwarded, to which backend, when, how often, and which are rejected.
//
// # What an engine is told, and what it answers
//
// An [Engine] does no input or output, starts no goroutine and reads no clock. The caller hands it what
// happened as [Event] values (event.go) and carries out the [Action] values that come back (action.go), in
// their order. All times are time.Duration values on the caller's clock, which may start anywhere and must
// not go back. The same [Settings], seed and events give the same actions. An Engine is not safe for
// concurrent use; different Engines share nothing but the counter, which they reach by [AddToCounter].
//
// Each [Request] gets one final answer: the result of an attempt that closes it, a [Reject] or a [Fail].
// Each [SendAttempt] gets one [AttemptResult], also after a [CancelAttempt]; each [AddToCounter] one
// [CounterResult], each [HealthCheck] one [HealthCheckResult], each [SetTimer] one [Timer]. The caller
// keeps those promises.
//
// # The way of a request
//
//	Request
//	  admit           admission.go   its deadline budget; is the gateway in service, can an answer be in time,
//	  |                              is the queue for the tenant's hard limit short enough?
//	  serve           admission.go   the tenant's requests in their order, until one must wait
//	  decideQuota     admission.go   requests admitted, hard limit, priority level; then payCost (quota.go)
//	  |                              from the lease, from fallback tokens, or by a call to the counter
//	  dispatch        dispatch.go    choose (selection.go) picks a backend; is there overload?
//	  priority queue  priorityqueue.go
//	  sendQueued      dispatch.go    a backend has a free slot: who goes next (nextRequest), who is stale?
//	  send            attempt.go     the last guards
//	SendAttempt
//	AttemptResult
//	  attemptEnded    attempt.go
//	  recordResult    result.go      what it tells of the backend
//	  retry           retry.go       a retry goes back to dispatch
//	  end             requestend.go  what is in flight is cancelled, what it holds goes back
//
// A request for which no backend is usable, and that cannot have run, waits among the unplaced and is
// dispatched again by the periodic check. Whatever rule of the engine rejects a request calls reject
// (rejection.go) with a [RejectReason]; only requests of an unknown class or plan are answered by admit
// itself. The order of these rules stands at the head of rejection.go. What a request holds when it ends goes
// back, and may let others of its tenant go on: so reject, too, can lead to dispatch. Beside this way, a
// request ends by its timer (deadlinePassed), when its client is gone (clientGone), and by suspend.
//
// # Which rule stands where
//
//	which requests go on                            admission.go
//	at which priority level                         priority.go
//	how many of a tenant's are admitted at once     maxconcurrent.go
//	a tenant's quota over all gateways              quota.go, countercalls.go, packages lease, callshare
//	a tenant's hard limit over all gateways         hardlimit.go, package hardlimit
//	why a request is rejected                       rejection.go
//	what a request gives back when it ends          requestend.go
//	which tenants are known                         tenants.go
//	how many attempts a backend gets at once        result.go, package concurrency
//	how long an answer takes                        package latency
//	what a warm backend carries                     package throughput
//	which backends are left out, and come back      outlier.go, package outlier
//	what a started backend gets                     slowstart.go, package slowstart
//	which backends there are                        endpoints.go
//	which of them this gateway uses                 subset.go, package internal/subset
//	which of these gets a request                   selection.go
//	what is rejected under overload                 dispatch.go
//	what may be tried again, and where              retry.go
//	what no event tells                             periodic.go
//
// Each of these parts owns its state: the packages, and the types endpointRegistry, endpointPolling,
// backendSubset, slowStarts, checkList, priorityQueues, tenantRegistry, counterCalls and callEstimates, of
// which the Engine is composed. The Engine's methods are what needs several of them, in the order of
// events. All random numbers come from the Engine's one source.
//
// The mechanism is that of J. Andersson and M. Kihl, "Load Balancing and Admission Control of a Parlay X
// Application Server", NTS 17, 2004, sections 3.1 and 4, carried over from one balancer to many gateways.
// Comments say "a departure" where a rule is another than the paper's.
package policy
