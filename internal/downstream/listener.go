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
	"cindersaddle/internal/logging"
	"cindersaddle/internal/socket"
)

const (
	// soReusePort is SO_REUSEPORT of Linux, which package syscall does not define.
	soReusePort = 15
	// acceptRetryDelay is the delay before Accept retries after an error, unless it has evicted a connection.
	acceptRetryDelay = 2 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// ListenShared listens on a TCP address with SO_REUSEPORT.
//
// In an upgrade, the successor normally receives the descriptor of this socket from package upgrade, and both processes
// accept from the same listen queue. SO_REUSEPORT is for a successor that does not receive it: it can open a socket of
// its own, with a separate queue, at the same address. If the kernel rejects the option, only this socket can listen
// there.
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

// Evictor closes connections to free file descriptors.
type Evictor interface {
	// Evict closes the connection whose loss does the least harm. It returns false if no connection can be closed.
	Evict() bool
}

// Listener accepts the connections of clients. http.Server stops serving after the first error from Accept, so Accept
// fails only if the listener can no longer be used. If no file descriptor is available, it evicts another connection or
// waits for acceptRetryDelay, because clients consider a connection in the listen queue accepted. Any other error
// affects only one connection or is temporary, so Accept tries again.
//
// Drain accepts the connections in the listen queue before the listener is closed. Accept must be called by one
// goroutine only; the other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	tracker  *ConnTracker
	upstream Evictor

	queueShared    atomic.Bool     // another process accepts from the same listen queue
	draining       atomic.Bool     // Drain was called
	drainCtx       context.Context // limits the drain; set before draining
	acceptDone     chan struct{}   // closed when Accept returns net.ErrClosed; all drained connections are tracked then
	acceptDoneOnce sync.Once       // closes acceptDone

	// Only the goroutine that calls Accept uses the fields below.
	queueDrained bool             // drainQueue was called: Accept returns pendingConns and then net.ErrClosed
	pendingConns []net.Conn       // drained connections that Accept has not yet returned
	errorLogs    *logging.Limiter // of failed accepts
}

// NewListener returns a listener that accepts connections from ln and adds them to tracker. If no file descriptor is
// available, it evicts an upstream connection or, if there is none, a client connection.
func NewListener(ln net.Listener, tracker *ConnTracker, upstream Evictor) *Listener {
	return &Listener{
		Listener: ln, tracker: tracker, upstream: upstream, acceptDone: make(chan struct{}),
		errorLogs: logging.NewLimiter(acceptLogInterval),
	}
}

// Accept returns the next connection that the tracker admits, as a *Conn. After a call to Drain it returns the
// connections that were in the listen queue, and then net.ErrClosed.
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

// handleAcceptError logs a failed accept, at most once per acceptLogInterval. It then frees a file descriptor if there
// was none, or waits before the next accept.
func (l *Listener) handleAcceptError(err error) {
	if suppressed, allowed := l.errorLogs.Allow(); allowed {
		l.tracker.Log.Info("connection not accepted", "error", err, "suppressed", suppressed)
	}
	if socket.Exhausted(err) {
		l.freeDescriptor()
	} else {
		time.Sleep(acceptRetryDelay)
	}
}

// Close closes the listener. It returns nil if the listener is already closed.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// freeDescriptor evicts a connection, or waits for acceptRetryDelay if no connection can be evicted.
func (l *Listener) freeDescriptor() {
	if l.upstream.Evict() || l.tracker.Evict() {
		return
	}
	time.Sleep(acceptRetryDelay)
}

// nextConn returns the next connection of the listener, or of pendingConns after a drain. It does not add it to the
// tracker.
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

// acceptOnce accepts one connection from the listener, unless a test injects an error.
func (l *Listener) acceptOnce() (net.Conn, error) {
	if err := fault.InjectedError(fault.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}
