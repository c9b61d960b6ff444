// Package budget divides a gateway's descriptors and memory (limits.sockets and limits.memory_mb of its configuration)
// among clients, backends and all else, so that a crowd of clients never takes what backends, discovery and the counter
// need.
package budget

const (
	backendShare   = 0.28 // of the descriptors, for connections to backends
	clientShare    = 0.62 // of the descriptors, for clients at most
	minClientShare = 0.5  // of the descriptors, for clients at least

	// reserved descriptors belong to neither clients nor backends: 8 for the listener, the poller, the log and the
	// runtime, 4 each for discovery and the counter and as many at their addresses before, one for the connection that
	// is being accepted and one for the configuration; some are left for what the system loads with the program.
	reserved = 32

	// ConnsPerRejected is for how many connections of clients one more may be held that was rejected for want of room, and
	// on which the rest of what the client sent is read.
	ConnsPerRejected = 32

	defaultConns = 400 // for clients and for backends each, where the configuration sets no limit

	clientMemoryShare   = 0.25     // of the memory limit, for what clients make the gateway hold (Bytes)
	defaultClientMemory = 32 << 20 // bytes, where the configuration sets no limit
)

// BackendConns returns how many connections to backends may be open with so many descriptors; 0: no limit is set.
func BackendConns(descriptors int) int {
	if descriptors == 0 {
		return defaultConns
	}
	return max(1, int(float64(descriptors)*backendShare))
}

// ClientConns returns how many connections of clients may be open, so that with those that are being rejected and the
// backends' share the others always find descriptors. Descriptors 0: no limit is set.
//
// At the smallest limits (256 to some 300 descriptors) the plain shares and all else would add up to more than the
// limit: idle clients would keep discovery and the counter from coming back ("too many open files").
func ClientConns(descriptors, backendConns int) int64 {
	if descriptors <= 0 {
		return defaultConns
	}
	share := float64(descriptors) * clientShare
	if left := descriptors - backendConns - reserved; float64(left) < share {
		share = max(float64(descriptors)*minClientShare, float64(left)*ConnsPerRejected/(ConnsPerRejected+1))
	}
	return max(1, int64(share))
}

// RejectedConns returns how many rejected connections may be held beside so many connections of clients.
func RejectedConns(clientConns int64) int64 { return clientConns / ConnsPerRejected }

// ClientMemory returns how many bytes clients may make the gateway hold, with a memory limit in MB; 0: no limit is set.
func ClientMemory(memoryMB int) int64 {
	memory := float64(memoryMB<<20) * clientMemoryShare
	if memory <= 0 {
		memory = defaultClientMemory
	}
	return int64(memory)
}
