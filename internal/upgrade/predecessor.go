package upgrade

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cindersaddle/internal/timing"
)

// acceptRetryDelay is the pause after the socket fails to accept a connection.
const acceptRetryDelay = 400 * time.Millisecond

// acceptSuccessors sends the state to successors until ctx is done, or until one has come and gone: then the path of the
// socket has to be taken back from it.
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

// serveSuccessor sends the state to one successor and keeps the connection open as long as that runs. It reports whether
// a successor has come and gone.
func (h *Handover) serveSuccessor(ctx context.Context, conn *net.UnixConn, process *Process) bool {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(predecessorTimeout))
	if !receiveGreeting(conn) || !h.processes.addSuccessor() {
		return false
	}
	defer h.processes.removeSuccessor()
	if err := sendState(conn, process); err != nil {
		h.log.Warn("nothing was handed over", "error", err)
		return false
	}
	conn.SetDeadline(time.Time{})
	h.log.Info("another process takes over")
	waitClosed(conn)
	return ctx.Err() == nil
}

// sendState sends the listener and the state.
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
