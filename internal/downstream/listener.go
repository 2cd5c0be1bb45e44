package downstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

const (
	// soReusePort is SO_REUSEPORT of Linux, which package syscall does not define.
	soReusePort = 15
	// acceptRetryDelay is how long Accept waits while no descriptor is available, and after other errors.
	acceptRetryDelay = 2 * time.Millisecond
	// acceptLogInterval is the least time between two log lines about connections that could not be accepted.
	acceptLogInterval = time.Second
)

// ListenShared listens at a TCP address with SO_REUSEPORT, so that a process that takes over in an upgrade can listen
// at the same address. If the kernel rejects the option, this process alone can listen there.
func ListenShared(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the application: %w", err) // err names the address
	}
	return ln, nil
}

// Evictor closes connections to free descriptors.
type Evictor interface {
	// Evict closes the connection whose loss does the least harm, and reports whether there was one to close.
	Evict() bool
}

// Listener accepts the connections of clients. It guards against a process that stops serving after an error that passes:
// net/http ends serving with the first error of Accept. Accept fails only if the listener cannot be used any more. When no
// descriptor is available, it evicts another connection, or pauses for acceptRetryDelay, as clients consider a connection in the
// listen queue accepted; any other error is that of one connection, or passes.
//
// Drain accepts the connections that wait in the listen queue before the listener is closed. Accept must be called by one
// goroutine only, the other methods by any.
type Listener struct {
	net.Listener
	tracker  *ConnTracker
	upstream Evictor

	queueShared    atomic.Bool     // another process accepts from the same listen queue
	draining       atomic.Bool     // Drain was called
	drainCtx       context.Context // the limit of a drain; set before draining
	acceptDone     chan struct{}   // closed when Accept returns net.ErrClosed, so that all drained connections are tracked
	acceptDoneOnce sync.Once       // closes closed

	// Only the accepting goroutine uses the fields below.
	queueDrained bool       // the listen queue is empty and the listener closed
	pendingConns []net.Conn // connections from the listen queue that Accept has not yet returned
	lastErrorLog time.Time  // when a failed accept was logged last
}

// NewListener returns a listener that accepts from ln and adds connections to conns. When no descriptor is available,
// it evicts connections of upstream first.
func NewListener(ln net.Listener, conns *ConnTracker, upstream Evictor) *Listener {
	return &Listener{Listener: ln, tracker: conns, upstream: upstream, acceptDone: make(chan struct{})}
}

// Accept returns the next connection that the tracker admits, as a *Conn. After Drain it returns the connections that
// were waiting, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.nextConn()
		if err == nil {
			conn := l.tracker.Add(netConn.(*net.TCPConn))
			if conn != nil {
				return conn, nil
			}
			continue
		}
		if socket.ListenerBroken(err) {
			return nil, err
		}
		l.handleAcceptError(err)
	}
}

// handleAcceptError prepares for another accept after one that failed.
func (l *Listener) handleAcceptError(err error) {
	if time.Since(l.lastErrorLog) >= acceptLogInterval {
		l.lastErrorLog = time.Now()
		l.tracker.Log.Info("connection not accepted", "error", err)
	}
	if socket.Exhausted(err) {
		l.freeDescriptor()
	} else {
		time.Sleep(acceptRetryDelay)
	}
}

// Close closes the listener. It returns nil if the listener is closed already.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// freeDescriptor evicts a connection, or waits for acceptRetryDelay if there is none to evict.
func (l *Listener) freeDescriptor() {
	if l.upstream.Evict() || l.tracker.Evict() {
		return
	}
	time.Sleep(acceptRetryDelay)
}

// nextConn returns the next connection, whether or not the tracker admits it.
func (l *Listener) nextConn() (net.Conn, error) {
	if !l.queueDrained {
		conn, err := l.acceptOnce()
		interrupted := errors.Is(err, os.ErrDeadlineExceeded) && l.draining.Load()
		if !interrupted {
			return conn, err
		}
		l.drainQueue(l.Listener.(*net.TCPListener))
	}
	if len(l.pendingConns) == 0 {
		l.acceptDoneOnce.Do(func() { close(l.acceptDone) })
		return nil, net.ErrClosed
	}
	conn := l.pendingConns[0]
	l.pendingConns = l.pendingConns[1:]
	return conn, nil
}

// accept returns the next connection of the listener, and fails as the fault plan of a test says.
func (l *Listener) acceptOnce() (net.Conn, error) {
	if err := fault.Injected(fault.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}
