package upgrade

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cindersaddle/internal/timing"
)

// acceptRetryDelay is the pause after a failure to accept a connection at the socket.
const acceptRetryDelay = 400 * time.Millisecond

// acceptSuccessors sends the state to successors until ctx is done, a successor ends or accepting fails. A successor
// replaces the socket with its own, so after its end the caller has to open the socket again.
func (h *Handover) acceptSuccessors(
	ctx context.Context, listener *net.UnixListener, process *Process, tasks *sync.WaitGroup,
) {
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				timing.Sleep(ctx, acceptRetryDelay)
			}
			return
		}
		tasks.Go(func() {
			if h.serveSuccessor(ctx, conn, process) {
				listener.Close()
			}
		})
	}
}

// serveSuccessor sends the state to one successor and keeps the connection open until the successor ends. It reports
// whether a successor took over and then ended while this process was still running.
func (h *Handover) serveSuccessor(ctx context.Context, conn *net.UnixConn, process *Process) bool {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(handoverTimeout))
	if !receiveGreeting(conn) || !h.processCounter.addSuccessor() {
		return false
	}
	defer h.processCounter.removeSuccessor()
	if err := sendState(conn, process); err != nil {
		h.log.Warn("nothing was handed over", "error", err)
		return false
	}
	conn.SetDeadline(time.Time{})
	h.log.Info("another process takes over")
	waitUntilClosed(conn)
	return ctx.Err() == nil
}

// sendState sends the client listener and the state of the process.
func sendState(conn *net.UnixConn, process *Process) error {
	state, err := process.ExportState()
	if err != nil {
		return err
	}
	if err := sendListener(conn, process.Listener); err != nil {
		return err
	}
	return encode(conn, state)
}
