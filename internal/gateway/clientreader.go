package gateway

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"bellwood/internal/resp"
)

// discardBufferBytes is the size of the buffer into which input is read that is thrown away.
const discardBufferBytes = 32 << 10

// Read reads from the socket for the reader of commands. A command has one deadline, however its bytes drip in, and so
// has a new client's first. The connection's reader calls it.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	if conn.readingAhead {
		return conn.receive(buffer)
	}
	if conn.commandDeadline.IsZero() && conn.commands.Partial() {
		conn.commandDeadline = time.Now().Add(commandTimeout)
	}
	if !conn.commandDeadline.IsZero() {
		conn.socket.SetReadDeadline(conn.commandDeadline)
		conn.deadlineSet = true
	} else if conn.deadlineSet {
		conn.socket.SetReadDeadline(time.Time{})
		conn.deadlineSet = false
	}
	conn.mu.Lock()
	conn.commandBegun = conn.commands.Partial()
	conn.closeIfDone()
	conn.mu.Unlock()
	return conn.receive(buffer)
}

// receive reads what has come. It takes the bytes and notes them under the lock, so that nobody who holds it takes the
// connection for one that stands between two requests.
//
// Failure: a close of a socket waits until nobody is within a read of it, and whoever closes holds the lock: a reader
// that waits for the lock within a read and the one who closes wait for each other. How it shows: the loop, or the
// goroutine that accepts connections, is stuck for good. Why this holds: within a read the lock is only tried for
// (readLocked); it is waited for outside, where a close does not wait for the reader. TestCloseCrossingServe,
// TestCloseCrossingARead, TestReadWaitsForTheLock.
func (conn *clientConn) receive(buffer []byte) (int, error) {
	if conn.rawSocket == nil {
		return conn.socket.Read(buffer)
	}
	for {
		n, lockBusy := 0, false
		var failure error
		err := conn.rawSocket.Read(func(fd uintptr) (done bool) {
			if lockBusy = !conn.mu.TryLock(); lockBusy {
				return true
			}
			defer conn.mu.Unlock()
			n, failure = conn.readLocked(int(fd), buffer)
			return failure != syscall.EAGAIN
		})
		switch {
		case err != nil:
			return 0, err
		case lockBusy:
			conn.mu.Lock()
			conn.mu.Unlock() // the goroutine that held it is done
		case failure != nil:
			return 0, failure
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// readLocked reads from the socket without waiting and notes that bytes have come. The caller holds mu.
func (conn *clientConn) readLocked(fd int, buffer []byte) (n int, err error) {
	n, err = syscall.Read(fd, buffer)
	for err == syscall.EINTR {
		n, err = syscall.Read(fd, buffer)
	}
	conn.commandBegun = conn.commandBegun || n > 0
	return n, err
}

// pause waits, and says whether the connection is still open. It reads on meanwhile, as far as that takes no memory, so
// that a client that leaves is seen (TestPauseEndsWithTheConnection).
func (conn *clientConn) pause(duration time.Duration) bool {
	end := time.Now().Add(duration)
	conn.socket.SetReadDeadline(end)
	conn.readingAhead, conn.deadlineSet = true, true
	defer func() { conn.readingAhead = false }()
	for conn.commands.ReadAheadLeft() > resp.MaxMessageBytes-resp.BufferBytes {
		if err := conn.commands.Fill(); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	time.Sleep(time.Until(end))
	return true
}

// waitForReplyCapacity waits until the queue has capacity for a further reply. The caller holds mu, which is released
// meanwhile.
//
// Failure: the client leaves while its reader waits. How it shows: all that it has asked is forwarded though nobody
// waits for it. Why this holds: as far as the buffer may grow it reads on, and so sees the end; what a client sends
// beyond that hides its end from the reader, and upstream asks the socket (endIfClientDisconnected).
// TestLeavingClientIsSeen, TestReadAheadIsTaken.
func (conn *clientConn) waitForReplyCapacity() {
	if conn.commands.ReadAheadLeft() <= 0 {
		conn.replyCapacityOrClosed.Wait()
		return
	}
	conn.socket.SetReadDeadline(time.Time{}) // under mu: signalReplyCapacity sets another
	conn.readerParked, conn.readingAhead, conn.deadlineSet = true, true, true
	conn.mu.Unlock()
	err := conn.commands.Fill()
	conn.mu.Lock()
	conn.readerParked, conn.readingAhead = false, false
	switch {
	case errors.Is(err, resp.ErrNoMemory):
		conn.replyCapacityOrClosed.Wait()
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		conn.closeLocked()
	}
}

// signalReplyCapacity wakes the reader if it waits for capacity in the queue. The caller holds mu.
func (conn *clientConn) signalReplyCapacity() {
	conn.replyCapacityOrClosed.Broadcast()
	if conn.readerParked {
		conn.socket.SetReadDeadline(time.Unix(1, 0)) // in the past: its read ends at once
	}
}

// failAndDiscard answers input that can't be read with an error line, and throws the rest away until the connection
// ends.
//
// Failure: the connection is closed while the client still sends, so the kernel resets it. How it shows: the client
// loses the error line, and replies before it. Why this holds: what comes is read for a while behind the line; and from
// the start, so that a client that leaves is seen even while replies before this one are still owed.
// TestErrorLineOutlivesTheRest, TestLeavingClientIsSeen.
func (conn *clientConn) failAndDiscard(line string) {
	conn.socket.SetReadDeadline(time.Time{})
	conn.mu.Lock()
	conn.discarding = true
	reply := conn.appendReply(nil, 0)
	conn.mu.Unlock()
	conn.commands.Release()
	conn.answer(reply, []byte(line))
	buffer := make([]byte, discardBufferBytes)
	for left := maxDiscardedBytes; left > 0; {
		n, err := conn.socket.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for !conn.lingering && !conn.closed {
		conn.replyCapacityOrClosed.Wait()
	}
}
