package upgrade

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cindersaddle/internal/timing"
)

// acceptRetryDelay is the pause after the socket fails to accept a connection.
const acceptRetryDelay = StateTimeout

// acceptSuccessors sends the state to successors until ctx ends, or until one has come and gone: then the path of the
// socket has to be taken back from it.
func (h *Handover) acceptSuccessors(
	ctx context.Context, listener *net.UnixListener, exportState func() (*State, error), tasks *sync.WaitGroup,
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
			if h.serveSuccessor(ctx, conn, exportState) {
				listener.Close()
			}
		})
	}
}

// serveSuccessor sends the state to one successor and keeps the connection as long as that runs. It reports whether a
// successor has come and gone.
func (h *Handover) serveSuccessor(
	ctx context.Context, conn *net.UnixConn, exportState func() (*State, error),
) bool {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(predecessorTimeout))
	if !receiveGreeting(conn) || !h.addSuccessor() {
		return false
	}
	if err := h.sendState(conn, exportState); err != nil {
		h.log.Warn("nothing was handed over", "error", err)
		h.removeSuccessor()
		return false
	}
	conn.SetDeadline(time.Time{})
	h.log.Info("another process takes over")
	waitClosed(conn)
	h.removeSuccessor()
	return ctx.Err() == nil
}

// receiveGreeting reports whether the other side is a sidecar that takes over.
func receiveGreeting(conn net.Conn) bool {
	line, err := bufio.NewReaderSize(conn, 2*len(greeting)).ReadSlice('\n')
	return err == nil && string(line) == greeting
}

// sendState sends the listener and the state.
func (h *Handover) sendState(conn *net.UnixConn, exportState func() (*State, error)) error {
	state, err := exportState()
	if err != nil {
		return err
	}
	if err := sendListener(conn, h.listener); err != nil {
		return err
	}
	return encode(conn, state)
}

// Retire marks the end of this process and reports whether another one has taken over; from then on none can. When a
// successor dies later, the socket is left to the successor's own successor, or to nobody. A nil Handover has no
// successor.
func (h *Handover) Retire() (succeeded bool) {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired.Store(true)
	return h.successors > 0
}
