package upgrade

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RequestState takes over from the running process, if there is one: it returns its state and its client listener,
// which is nil if the listener could not be shared. The error wraps os.ErrNotExist if there is no socket and thus no
// predecessor. RequestState must be called once, before Run.
func (h *Handover) RequestState() (*State, net.Listener, error) {
	conn, err := h.socket.dial()
	if err != nil {
		return nil, nil, fmt.Errorf("connect to the predecessor: %w", err)
	}
	state, listener, err := receiveHandover(conn, h.clientAddress)
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("receive the state of the predecessor: %w", err)
	}
	h.predecessor = conn
	return state, listener, nil
}

// receiveHandover sends the greeting to the predecessor and receives its state and its client listener, which may be
// nil.
func receiveHandover(conn *net.UnixConn, clientAddress string) (*State, net.Listener, error) {
	conn.SetDeadline(time.Now().Add(handoverTimeout))
	if err := sendGreeting(conn); err != nil {
		return nil, nil, err
	}
	listener, err := receiveListener(conn, clientAddress)
	if err != nil {
		return nil, nil, err
	}
	state, err := receiveState(conn, clientAddress)
	if err != nil {
		if listener != nil {
			listener.Close()
		}
		return nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return state, listener, nil
}

// receiveState reads the state and checks its version, its client address and its endpoint list.
func receiveState(r io.Reader, clientAddress string) (*State, error) {
	state, err := decode(r)
	if err != nil {
		return nil, err
	}
	if state.Version != StateVersion {
		return nil, &VersionError{Version: state.Version}
	}
	if state.Listen != clientAddress {
		return nil, &AddressError{Listen: state.Listen, Want: clientAddress}
	}
	if err := state.List.Validate(); err != nil {
		return nil, fmt.Errorf("endpoint list of revision %d: %w", state.List.Revision, err)
	}
	return state, nil
}

// watchPredecessor counts the predecessor, if there is one, as a running process until it ends. The connection is
// closed when ctx is done, unless stop is called first.
func (h *Handover) watchPredecessor(ctx context.Context, tasks *sync.WaitGroup) (stop func() bool) {
	if h.predecessor == nil {
		return func() bool { return false }
	}
	h.processCounter.addPredecessor()
	stop = context.AfterFunc(ctx, func() { h.predecessor.Close() })
	tasks.Go(func() {
		waitUntilClosed(h.predecessor)
		h.processCounter.removePredecessor()
	})
	return stop
}
