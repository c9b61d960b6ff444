package gateway

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bellwood/internal/gateway/protocol"
)

// slowService takes a time to answer each PING, as if it took processor time, and counts the answers.
type slowService struct {
	takes   time.Duration
	answers atomic.Int64
}

func (service *slowService) pingReply() string {
	time.Sleep(service.takes)
	service.answers.Add(1)
	return protocol.Pong
}

// Guards against clients that send small commands at full speed and together keep the processor from the event loop and from
// the readers of others: beyond a free part for each, only one of their readers proceeds at a time.
func TestReadersWithMuchInputTakeTurns(t *testing.T) {
	const clients, runTime, commandTime = 8, time.Second, time.Millisecond
	server := newServerWithoutLoop(t, freeAddr(t))
	service := &slowService{takes: commandTime}
	server.downstream.service = service
	for range clients {
		conn, client := newClientPair(t, server)
		go conn.serve()
		go client.socket.Write([]byte(strings.Repeat(respCommand("PING"), 20_000)))
	}
	time.Sleep(runTime)
	const inTurn = int(runTime / commandTime)
	const free = clients * (freeTurnBytes/commandCost + 1) * int(runTime/turnWindow+2)
	if answers := int(service.answers.Load()); answers > inTurn+free {
		t.Errorf("%d commands processed in %v by %d readers, want at most %d in turn and %d without a turn", answers, runTime,
			clients, inTurn, free)
	}
}

// A reader that needs no turn is not held up by those that wait for theirs.
func TestReaderWithLittleInputNeedsNoTurn(t *testing.T) {
	turns := newReaderTurns()
	busy := readerTurn{turns: turns}
	busy.use(0, 2*freeTurnBytes)
	if !busy.held {
		t.Fatal("a reader with much input has no turn")
	}
	light := readerTurn{turns: turns}
	for now := time.Duration(0); now < time.Second; now += turnWindow {
		light.use(now, freeTurnBytes) // would block if it needed the turn
	}
	if light.held {
		t.Error("a reader with little input has the turn")
	}
	busy.end()
	light.use(0, freeTurnBytes)
	if light.use(0, 1); !light.held {
		t.Error("a reader that has used its free part has no turn")
	}
}

// Guards against a reader that keeps the turn while it waits, so that no other with much input would ever proceed.
func TestReaderGivesItsTurnUpWhereverItWaits(t *testing.T) {
	manyPings := strings.Repeat(respCommand("PING"), 200)
	for name, input := range map[string]string{
		"idle":                      manyPings,
		"within a command":          manyPings + "*2\r\n$4\r\nPI",
		"after an invalid command":  manyPings + strings.Repeat(respCommand("NONSENSE"), 3),
		"discarding":                manyPings + "\r\nnonsense",
		"for reply capacity":        strings.Repeat(requestCommand("1"), maxPendingReplies+10),
		"for more than the window":  strings.Repeat(respCommand("PING", strings.Repeat("x", 60_000)), 20) + "*",
		"after too many invalid":    manyPings + strings.Repeat(respCommand("NONSENSE"), maxInvalidSinceRequest),
		"within a skipped command":  manyPings + "*2\r\n$4\r\nPING\r\n$60000\r\n" + strings.Repeat("x", 50_000),
		"with an unfinished header": manyPings + "*",
	} {
		t.Run(name, func(t *testing.T) {
			server := newServerWithoutLoop(t, freeAddr(t))
			setReady(server)
			if strings.Contains(name, "skipped") {
				reserveAll(server.downstream.memory.CommandBuffers)
			}
			conn, client := newClientPair(t, server)
			go conn.serve()
			go func() {
				for { // reads all replies
					if _, err := client.tryReadMessage(); err != nil {
						return
					}
				}
			}()
			client.write(input)
			other := readerTurn{turns: server.downstream.turns}
			got := make(chan struct{})
			go func() {
				time.Sleep(50 * time.Millisecond) // by then the reader waits
				other.use(0, 2*freeTurnBytes)
				close(got)
			}()
			for {
				select {
				case task := <-server.tasks:
					task()
					continue
				case <-got:
				case <-time.After(testTimeout):
					t.Error("another reader waits for the turn")
				}
				return
			}
		})
	}
}

// Guards against a sound command that fails because its reader had to wait for the turn: that time is not its client's.
func TestTimeSpentWaitingForTheTurnIsNotTheCommands(t *testing.T) {
	server := newServerWithoutLoop(t, freeAddr(t))
	setReady(server)
	conn, client := newClientPair(t, server)
	go conn.serve()
	server.downstream.turns <- struct{}{} // another reader has the turn
	const pings = freeTurnBytes / commandCost / 2
	input := strings.Repeat(respCommand("PING"), pings) + respCommand("PING", strings.Repeat("x", 60_000))
	client.write(input[:len(input)-3])
	time.Sleep(commandTimeout + 100*time.Millisecond)
	<-server.downstream.turns
	client.write(input[len(input)-3:])
	for range pings + 1 {
		client.wantReply("+PONG")
	}
}
