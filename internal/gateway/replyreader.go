package gateway

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/resp"
)

// replyStallTimeout is the longest pause within a reply. A reply that stalls for longer is treated as malformed, since
// its declared length must be wrong.
const replyStallTimeout = 250 * time.Millisecond

// errUnsolicitedReply is returned when data arrives on a connection that has no outstanding command.
var errUnsolicitedReply = errors.New("backend connection: unsolicited reply")

// replyReader reads a backend's replies. It is owned by the goroutine that reads the connection.
type replyReader struct {
	socket       net.Conn
	commandsSent *atomic.Int32 // backendConn.commandsSent
	messages     *resp.Reader
	repliesRead  int32
	deadlineSet  bool // a read deadline is set
}

func newReplyReader(socket net.Conn, commandsSent *atomic.Int32) *replyReader {
	reader := &replyReader{socket: socket, commandsSent: commandsSent}
	reader.messages = resp.NewReader(reader, nil)
	return reader
}

// next returns the next reply. The error is resp.ErrMalformed, errUnsolicitedReply, os.ErrDeadlineExceeded for a reply
// that stalls, or a network error.
func (reader *replyReader) next() (protocol.Reply, error) {
	message, err := reader.messages.Next()
	if err != nil {
		return protocol.Reply{}, err
	}
	reply := protocol.ReadReply(message)
	reader.repliesRead++
	reply.TrailingBytes = reader.messages.Partial()
	return reply, nil
}

// Read implements io.Reader for messages, reading from the socket.
//
// It returns errUnsolicitedReply for data that arrives while no command is outstanding: that data would precede the next
// reply, and a client would receive another client's value (TestUnsolicitedReplyIsDiscarded). While a reply is
// incomplete, it sets a read deadline of replyStallTimeout.
func (reader *replyReader) Read(buffer []byte) (int, error) {
	if reader.messages.Partial() {
		reader.socket.SetReadDeadline(time.Now().Add(replyStallTimeout))
		reader.deadlineSet = true
	} else if reader.deadlineSet {
		reader.socket.SetReadDeadline(time.Time{})
		reader.deadlineSet = false
	}
	n, err := reader.socket.Read(buffer)
	if n > 0 && reader.commandsSent.Load() == reader.repliesRead {
		return 0, errUnsolicitedReply
	}
	return n, err
}
