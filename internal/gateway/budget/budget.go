// Package budget divides a gateway's descriptors and memory (limits.sockets and limits.memory_mb of its configuration)
// among clients, backends and everything else, so that many clients cannot use up what backends, discovery and the
// counter need.
package budget

const (
	backendShare   = 0.28 // of the descriptors, for connections to backends
	clientShare    = 0.62 // of the descriptors, upper bound for clients
	minClientShare = 0.5  // of the descriptors, lower bound for clients

	// reservedDescriptors is the number of descriptors that neither clients nor backends may use:
	//   - 8 for the listener, the poller, the log and the runtime;
	//   - 4 each for discovery and the counter, and as many for their previous addresses after a reload;
	//   - 1 for the connection that is being accepted;
	//   - 1 for the configuration;
	//   - the rest for files that the system opens when it loads the program.
	reservedDescriptors = 32

	// ConnsPerRejected is the ratio of client connections to rejected connections that may be held open. A connection that
	// was rejected for lack of capacity is held open while the client's remaining input is read.
	ConnsPerRejected = 32

	defaultConns = 400 // for clients and for backends each, if the configuration sets no limit
)

// BackendConns returns the limit on open connections to backends, given the limit on descriptors. 0 descriptors means that
// the configuration sets no limit.
func BackendConns(descriptors int) int {
	if descriptors == 0 {
		return defaultConns
	}
	return max(1, int(float64(descriptors)*backendShare))
}

// ClientConns returns the limit on open client connections. Together with the rejected connections that are held open and
// the backends' share it always leaves the reserved descriptors free. 0 descriptors means that the configuration sets no
// limit.
//
// At the smallest limits (256 to about 300 descriptors) the client and backend shares plus the reserved descriptors would
// exceed the limit, and idle clients would keep the gateway from reconnecting to discovery and the counter ("too many
// open files"). The clients' share is therefore reduced there.
func ClientConns(descriptors, backendConns int) int64 {
	if descriptors <= 0 {
		return defaultConns
	}
	share := float64(descriptors) * clientShare
	if left := descriptors - backendConns - reservedDescriptors; float64(left) < share {
		share = max(float64(descriptors)*minClientShare, float64(left)*ConnsPerRejected/(ConnsPerRejected+1))
	}
	return max(1, int64(share))
}

// RejectedConns returns the limit on rejected connections held open, given the limit on client connections.
func RejectedConns(clientConns int64) int64 { return clientConns / ConnsPerRejected }
