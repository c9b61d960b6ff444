package gateway

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"bellwood/internal/resp"
)

// discardBufferBytes is the size of the buffer for reading input that is discarded.
const discardBufferBytes = 32 << 10

// Read implements io.Reader for the resp.Reader that parses commands. One deadline applies to each whole command,
// however slowly its bytes arrive, and to the first command of a new client. Only the connection's reader calls Read.
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
	conn.partialCommand = conn.commands.Partial()
	conn.closeIfDone()
	conn.mu.Unlock()
	return conn.receive(buffer)
}

// receive waits for input and reads it. It reads the bytes and sets partialCommand under one lock. Otherwise another
// goroutine that holds the lock could see bytes neither in the socket nor in partialCommand, and close the connection as
// being between two requests.
//
// Closing a socket waits until no goroutine is inside a read of it, and the goroutine that closes holds the lock. A
// reader that waited for the lock inside a read would deadlock with it, and the event loop, or the goroutine that accepts
// connections, would be stuck for good. So inside a read receive only tries to take the lock; it waits for the lock
// outside the read, where a close does not wait for the reader. TestCloseDoesNotDeadlockWithServe,
// TestCloseDoesNotDeadlockWithARead and TestReadContinuesOnceTheLockIsFree cover this.
func (conn *clientConn) receive(buffer []byte) (int, error) {
	read := socketRead{begunAt: conn.downstream.loop.now(), ahead: conn.readingAhead}
	n, err := conn.readSocket(buffer, &read.waited)
	read.endedAt, read.bytes, read.emptied = conn.downstream.loop.now(), n, n > 0 && n < len(buffer)
	conn.progress.inputRead(read)
	if n > 0 {
		conn.arrival.inputRead(read)
		conn.useTurn(read.endedAt, n)
	}
	return n, err
}

// useTurn counts input and waits for the reader's turn if it needs one. That time is not the client's, so it does not count
// against the command that is arriving.
func (conn *clientConn) useTurn(now time.Duration, bytes int) {
	waited := conn.turn.use(now, bytes)
	if waited > 0 && !conn.commandDeadline.IsZero() {
		conn.commandDeadline = conn.commandDeadline.Add(waited)
	}
}

// readSocket does what receive describes. It sets waited if the socket is empty at first.
func (conn *clientConn) readSocket(buffer []byte, waited *bool) (int, error) {
	if conn.rawSocket == nil {
		*waited = true
		conn.turn.end()
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
			if failure != syscall.EAGAIN {
				return true
			}
			*waited = true
			conn.turn.end()
			conn.progress.waitBegan(conn.downstream.loop.now())
			return false
		})
		switch {
		case err != nil:
			return 0, err
		case lockBusy:
			conn.turn.end()
			conn.mu.Lock()
			conn.mu.Unlock() // the lock has been released: try the read again
		case failure != nil:
			return 0, failure
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// readLocked reads from the socket without waiting, and sets partialCommand if bytes were read. The caller holds mu.
func (conn *clientConn) readLocked(fd int, buffer []byte) (n int, err error) {
	n, err = syscall.Read(fd, buffer)
	for err == syscall.EINTR {
		n, err = syscall.Read(fd, buffer)
	}
	conn.partialCommand = conn.partialCommand || n > 0
	return n, err
}

// pause waits for the duration, and reports whether the connection is still open. It continues reading meanwhile, as far
// as that allocates no memory, so that a disconnect is detected (TestPauseEndsOnDisconnect).
func (conn *clientConn) pause(duration time.Duration) bool {
	conn.turn.end()
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

// waitForReplyCapacity waits until the queue may have capacity for another reply. The caller holds mu, which is released
// during the wait.
//
// The client may disconnect while the reader waits, and its requests would still be forwarded although nobody waits for
// the replies. So the reader waits only if the client does not read its replies or there is no memory, and continues to read
// as far as its buffer may grow, and thereby detects the disconnect. If the client has sent more than that before it
// disconnects, the reader cannot detect it; upstream therefore also checks the socket before forwarding
// (upstream.clientWaits). TestDisconnectIsDetectedInEveryReaderState and
// TestReadAheadIsProcessedOnceRepliesFreeCapacity cover this.
func (conn *clientConn) waitForReplyCapacity() {
	conn.turn.end()
	if conn.commands.ReadAheadLeft() <= 0 {
		conn.replyCapacityOrClosed.Wait()
		return
	}
	conn.socket.SetReadDeadline(time.Time{}) // under mu, as signalReplyCapacity sets another deadline
	conn.awaitingReplyCapacity, conn.readingAhead, conn.deadlineSet = true, true, true
	conn.mu.Unlock()
	err := conn.commands.Fill()
	conn.mu.Lock()
	conn.awaitingReplyCapacity, conn.readingAhead = false, false
	switch {
	case errors.Is(err, resp.ErrNoMemory):
		if !conn.closed && !conn.replies.hasCapacity() { // either may have changed during Fill
			conn.replyCapacityOrClosed.Wait()
		}
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		conn.closeLocked(clientReadEnded)
	}
}

// signalReplyCapacity wakes the reader if it waits for capacity in the reply queue. The caller holds mu.
func (conn *clientConn) signalReplyCapacity() {
	conn.replyCapacityOrClosed.Broadcast()
	if conn.awaitingReplyCapacity {
		conn.socket.SetReadDeadline(time.Unix(1, 0)) // in the past, so that its read returns at once
	}
}

// failAndDiscard sends an error reply after which no further command is processed, and discards further input until the
// connection ends.
//
// If the connection were closed while the client is still sending, the kernel would reset it, and the client would lose
// the error reply and earlier replies. So input is read for some time after the error reply. Reading starts at once, so
// that a disconnect is detected even while earlier replies are still outstanding. TestErrorReplySurvivesTrailingInput and
// TestDisconnectIsDetectedInEveryReaderState cover this.
func (conn *clientConn) failAndDiscard(line string) {
	conn.mu.Lock()
	reply := conn.appendReply()
	conn.mu.Unlock()
	conn.answerAndDiscard(reply, line)
}

// answerAndDiscard does the same as failAndDiscard for a command that has an entry in the reply queue.
func (conn *clientConn) answerAndDiscard(reply *pendingReply, line string) {
	conn.socket.SetReadDeadline(time.Time{})
	conn.mu.Lock()
	conn.discarding = true
	conn.mu.Unlock()
	conn.commands.Release()
	conn.turn.end()
	conn.answer(reply, []byte(line))
	buffer := make([]byte, discardBufferBytes)
	for left := maxDiscardedBytes; left > 0; {
		n, err := conn.socket.Read(buffer)
		if err != nil {
			return
		}
		left -= n
		conn.useTurn(conn.downstream.loop.now(), n)
		conn.turn.end() // the next read may wait
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for !conn.lingering && !conn.closed {
		conn.replyCapacityOrClosed.Wait()
	}
}
