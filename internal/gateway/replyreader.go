package gateway

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"bellwood/internal/gateway/protocol"
	"bellwood/internal/resp"
)

// replyStallTimeout is after how long a reply that has begun and stops counts as malformed: its length is wrong.
const replyStallTimeout = 250 * time.Millisecond

// errUnsolicitedReply says that bytes came on a connection on which no reply was owed.
var errUnsolicitedReply = errors.New("backend connection: a reply to no command")

// replyReader reads a backend's replies. The goroutine that reads the connection owns it.
type replyReader struct {
	socket       net.Conn
	commandsSent *atomic.Int32 // on the connection
	messages     *resp.Reader
	repliesRead  int32
	deadlineSet  bool // a read deadline is set
}

func newReplyReader(socket net.Conn, commandsSent *atomic.Int32) *replyReader {
	reader := &replyReader{socket: socket, commandsSent: commandsSent}
	reader.messages = resp.NewReader(reader, nil)
	return reader
}

// next returns the next reply. It fails with resp.ErrMalformed, errUnsolicitedReply, os.ErrDeadlineExceeded for a reply
// that stalls, or an error of the network.
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

// Read reads from the socket for messages. Bytes that come while no reply is owed are an error: they would stand in front
// of the next reply, and a client would be given another one's value (TestUnsolicitedReplyReachesNobody). And a reply
// that has begun must go on within replyStallTimeout.
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
