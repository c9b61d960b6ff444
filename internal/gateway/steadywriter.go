package gateway

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	writeTimeout       = 5 * time.Second // in which a client must read minBytesPerTimeout, or all that is left
	minBytesPerTimeout = 16 << 10        // of replies; a client that reads fewer counts as one that does not read
)

// errReadsTooSlowly means that the peer of a connection does not read what is written to it.
var errReadsTooSlowly = errors.New("the peer does not read")

// writeSteadily writes data to a connection for as long as the peer reads it, however long that takes in all. The error is
// errReadsTooSlowly if the peer has read less than minBytesPerTimeout within the timeout and more is left, or the
// connection's error. It changes the connection's write deadline.
func writeSteadily(conn net.Conn, data []byte, timeout time.Duration) error {
	for len(data) > 0 {
		conn.SetWriteDeadline(time.Now().Add(timeout))
		n, err := conn.Write(data)
		data = data[n:]
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case n < minBytesPerTimeout && len(data) > 0:
			return errReadsTooSlowly
		}
	}
	return nil
}
