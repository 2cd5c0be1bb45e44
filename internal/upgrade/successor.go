package upgrade

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RequestState requests the state of the process that serves now. The error is an os.ErrNotExist where there is no
// socket, that is, no predecessor. It must be called before Run, once.
func (h *Handover) RequestState() (*State, error) {
	conn, err := h.dialUnix()
	if err != nil {
		return nil, fmt.Errorf("take over: %w", err)
	}
	listener, state, err := receiveHandover(conn, h.listen)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("take over: %w", err)
	}
	h.mu.Lock()
	h.predecessor = conn
	h.listener = listener
	h.mu.Unlock()
	return state, nil
}

// receiveHandover greets the predecessor and receives its listener, or nil, and its state.
func receiveHandover(conn *net.UnixConn, listen string) (net.Listener, *State, error) {
	conn.SetDeadline(time.Now().Add(predecessorTimeout))
	if _, err := io.WriteString(conn, greeting); err != nil {
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
	return listener, state, nil
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

// watchPredecessor counts the predecessor, if there is one, until it has ended. The connection is closed when ctx ends,
// unless stop was called before.
func (h *Handover) watchPredecessor(ctx context.Context, tasks *sync.WaitGroup) (stop func() bool) {
	h.mu.Lock()
	predecessor := h.predecessor
	h.mu.Unlock()
	if predecessor == nil {
		return func() bool { return false }
	}
	h.notifyProcessCount()
	stop = context.AfterFunc(ctx, func() { predecessor.Close() })
	tasks.Go(func() {
		waitClosed(predecessor)
		h.removePredecessor()
	})
	return stop
}
