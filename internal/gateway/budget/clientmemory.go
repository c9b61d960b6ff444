package budget

const (
	clientMemoryShare   = 0.25     // of the memory limit, for memory used on behalf of clients
	defaultClientMemory = 32 << 20 // bytes, if the configuration sets no limit

	commandBufferShare = 0.25  // of the clients' memory, for the buffers of long commands
	replyShare         = 0.5   // of the clients' memory, for replies
	queueShare         = 0.125 // of the clients' memory, for the entries of long reply queues
	pipelinedShare     = 0.25  // of the clients' memory, for requests behind others on their connections

	maxReplyBytes = 64<<10 + 16 // the longest value with its size line and CRLF
)

// ClientMemory limits the memory used on behalf of all clients together. The total has a part for each purpose for which
// clients could use up what the requests of others need.
type ClientMemory struct {
	Total *Bytes // everything: the parts below, unanswered requests and their replies
	// CommandBuffers is the part for the buffers of long commands. They are held until the whole command has arrived, for as
	// long as its client likes.
	CommandBuffers *Bytes
	// Replies is the part for replies: reserved for those of requests behind others on their connections, and used by those
	// that are ready until they are written.
	Replies *Bytes
	// Queues is the part for the entries of long reply queues. It is apart from the replies, as a gateway that can't accept
	// requests has to reject them.
	Queues *Bytes
	// Pipelined is the part for requests that have to wait for others on their connections to be answered. Clients that send
	// many at once leave the rest to the requests of others.
	Pipelined *Bytes
	// ReplyLength estimates the length of the next value. It begins with the longest.
	ReplyLength *SizeEstimate
}

// NewClientMemory returns the limits on memory used on behalf of clients, given the gateway's memory limit in MiB. 0 MiB
// means that the configuration sets no limit.
func NewClientMemory(memoryMB int) *ClientMemory {
	limit := float64(memoryMB<<20) * clientMemoryShare
	if limit <= 0 {
		limit = defaultClientMemory
	}
	total := NewBytes(int64(limit))
	return &ClientMemory{
		Total:          total,
		CommandBuffers: total.part(int64(limit * commandBufferShare)),
		Replies:        total.part(int64(limit * replyShare)),
		Queues:         total.part(int64(limit * queueShare)),
		Pipelined:      total.part(int64(limit * pipelinedShare)),
		ReplyLength:    NewSizeEstimate(maxReplyBytes),
	}
}

// Reserved returns the number of bytes reserved for all purposes.
func (memory *ClientMemory) Reserved() int64 { return memory.Total.Reserved() }
