package upgrade

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RequestState requests the state of the process that serves now, and its listener at the clients' address, which is nil
// where that could not be shared. The error is an os.ErrNotExist where there is no socket, that is, no predecessor. It
// must be called before Run, once.
func (h *Handover) RequestState() (*State, net.Listener, error) {
	conn, err := h.socket.dial()
	if err != nil {
		return nil, nil, fmt.Errorf("take over: %w", err)
	}
	state, listener, err := receiveHandover(conn, h.listen)
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("take over: %w", err)
	}
	h.predecessor = conn
	return state, listener, nil
}

// receiveHandover greets the predecessor and receives its state and its listener, or nil.
func receiveHandover(conn *net.UnixConn, listen string) (*State, net.Listener, error) {
	conn.SetDeadline(time.Now().Add(predecessorTimeout))
	if err := sendGreeting(conn); err != nil {
		return nil, nil, err
	}
	listener, err := receiveListener(conn, listen)
	if err != nil {
		return nil, nil, err
	}
	state, err := receiveState(conn, listen)
	if err != nil {
		if listener != nil {
			listener.Close()
		}
		return nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return state, listener, nil
}

// receiveState reads the state and checks that it is for this version and for the clients' address listen.
func receiveState(r io.Reader, listen string) (*State, error) {
	state, err := decode(r)
	if err != nil {
		return nil, err
	}
	if state.Version != StateVersion {
		return nil, &VersionError{Version: state.Version}
	}
	if state.Listen != listen {
		return nil, &AddressError{Listen: state.Listen}
	}
	if err := state.List.Validate(); err != nil {
		return nil, err
	}
	return state, nil
}

// watchPredecessor counts the predecessor, if there is one, until it has ended. The connection is closed when ctx is
// done, unless stop was called before.
func (h *Handover) watchPredecessor(ctx context.Context, tasks *sync.WaitGroup) (stop func() bool) {
	if h.predecessor == nil {
		return func() bool { return false }
	}
	h.processes.addPredecessor()
	stop = context.AfterFunc(ctx, func() { h.predecessor.Close() })
	tasks.Go(func() {
		waitClosed(h.predecessor)
		h.processes.removePredecessor()
	})
	return stop
}
