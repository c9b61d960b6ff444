package gateway

import (
	"time"

	"bellwood/internal/gateway/protocol"
)

// clientRequest is a request that was read from a client connection.
type clientRequest struct {
	*protocol.Request
	conn      *clientConn
	reply     *pendingReply // its entry in the connection's reply queue
	id        uint64        // assigned by requestTable; 0 if not accepted; the client's own id is ClientID
	arrivedAt time.Duration // event loop time before which its last byte cannot have arrived (arrivalClock)
}

// answerValue sends a backend's value like answer does.
func (request *clientRequest) answerValue(value []byte) {
	request.conn.answerValue(request.reply, value)
}

// answer sends the reply to the request without waiting for the client. Only the first call has an effect.
func (request *clientRequest) answer(text []byte) { request.conn.answer(request.reply, text) }
