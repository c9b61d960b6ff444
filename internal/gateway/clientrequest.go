package gateway

import (
	"time"

	"bellwood/internal/gateway/protocol"
)

// clientRequest is a client's request as its connection read it.
type clientRequest struct {
	*protocol.Request
	conn      *clientConn
	reply     *pendingReply // the place of its reply among those of the connection
	id        uint64        // that requestTable gave it; 0: it was not taken in. The client's is ClientID
	arrivedAt time.Duration // when its last byte was read, on the loop's clock
}

// answer gives the request its reply, once; a further one is passed over. It does not wait for the client.
func (request *clientRequest) answer(text []byte) { request.conn.answer(request.reply, text) }
