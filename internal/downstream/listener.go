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
	// acceptPause is how long Accept waits while no descriptor is available, and after other errors.
	acceptPause = 2 * time.Millisecond
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

// Listener accepts the connections of the application. Accept fails only if the listener cannot be used any more: its
// failure ends the process. When no descriptor is available, it evicts another connection, or waits for a moment only, as
// clients consider a connection in the listen queue accepted; any other error is that of one connection, or passes.
//
// Drain accepts the connections that wait in the listen queue before the listener is closed; the kernel would reset
// them otherwise. Accept must be called by one goroutine only, the other methods by any.
type Listener struct {
	net.Listener
	conns    *ConnTracker
	upstream Evictor

	// Shared means that another process accepts from the same listen queue. It must be set before Drain is called.
	Shared   atomic.Bool
	draining atomic.Bool
	drainEnd context.Context // the limit of a drain; set before draining
	closed   chan struct{}   // closed when Accept returns net.ErrClosed, so that all drained connections are tracked
	closing  sync.Once       // closes closed

	// Only the accepting goroutine uses the fields below.
	queueDrained bool       // the listen queue is empty and the listener closed
	drained      []net.Conn // connections from the listen queue that Accept has not yet returned
	errorLogged  time.Time  // when a failed accept was logged last
}

// NewListener returns a listener that accepts from ln and adds connections to conns. When no descriptor is available,
// it evicts connections of upstream first.
func NewListener(ln net.Listener, conns *ConnTracker, upstream Evictor) *Listener {
	return &Listener{Listener: ln, conns: conns, upstream: upstream, closed: make(chan struct{})}
}

// Accept returns the next connection that the tracker admits, as a *Conn. After Drain it returns the connections that
// were waiting, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.acceptAny()
		if err == nil {
			conn := l.conns.Add(netConn.(*net.TCPConn))
			if conn != nil {
				return conn, nil
			}
			continue
		}
		if socket.ListenerBroken(err) {
			return nil, err
		}
		l.recover(err)
	}
}

// recover prepares for another accept after one that failed.
func (l *Listener) recover(err error) {
	if time.Since(l.errorLogged) >= acceptLogInterval {
		l.errorLogged = time.Now()
		l.conns.Log.Info("connection not accepted", "error", err)
	}
	if socket.Exhausted(err) {
		l.freeDescriptor()
	} else {
		time.Sleep(acceptPause)
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

// Drain makes Accept return the connections that wait in the listen queue, and then net.ErrClosed. It returns when the
// listener is closed, or when ctx ends.
func (l *Listener) Drain(ctx context.Context) {
	if !l.draining.Load() {
		l.drainEnd = ctx
		l.draining.Store(true)
	}
	if ln, ok := l.Listener.(*net.TCPListener); ok {
		ln.SetDeadline(time.Unix(1, 0)) // interrupts Accept
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
}

// freeDescriptor evicts a connection, or waits for acceptPause if there is none to evict.
func (l *Listener) freeDescriptor() {
	if l.upstream.Evict() || l.conns.Evict() {
		return
	}
	time.Sleep(acceptPause)
}

// acceptAny returns the next connection, whether or not the tracker admits it.
func (l *Listener) acceptAny() (net.Conn, error) {
	if !l.queueDrained {
		conn, err := l.accept()
		interrupted := errors.Is(err, os.ErrDeadlineExceeded) && l.draining.Load()
		if !interrupted {
			return conn, err
		}
		l.drainQueue(l.Listener.(*net.TCPListener))
	}
	if len(l.drained) == 0 {
		l.closing.Do(func() { close(l.closed) })
		return nil, net.ErrClosed
	}
	conn := l.drained[0]
	l.drained = l.drained[1:]
	return conn, nil
}

func (l *Listener) accept() (net.Conn, error) {
	if err := fault.Injected(fault.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// drainQueue accepts all connections from the listen queue and closes the listener.
func (l *Listener) drainQueue(ln *net.TCPListener) {
	l.queueDrained = true
	defer ln.Close()
	socket.Control(ln, func(fd uintptr) { l.acceptPending(int(fd)) })
}

// acceptPending accepts connections until the listen queue is empty, and stops listening at that moment. An error other than
// an empty queue or a broken listener leaves connections in the queue, which would be reset.
func (l *Listener) acceptPending(listenerFD int) {
	for {
		fd, err := acceptDescriptor(listenerFD)
		if err == nil {
			l.addDrained(fd)
			continue
		}
		if err == syscall.EINTR {
			continue
		}
		if err == syscall.EAGAIN || socket.ListenerBroken(err) || l.drainEnd.Err() != nil {
			break
		}
		l.recover(err)
	}
	if !l.Shared.Load() { // a shutdown would end the listening of the other process too
		syscall.Shutdown(listenerFD, syscall.SHUT_RD)
	}
}

func acceptDescriptor(listenerFD int) (int, error) {
	if err := fault.Injected(fault.Accept); err != nil {
		return 0, err
	}
	fd, _, err := syscall.Accept4(listenerFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return fd, err
}

// addDrained adds the connection of a descriptor to those that Accept returns. Its client considers it accepted: while no
// descriptor is available for its duplicate, another connection is evicted.
func (l *Listener) addDrained(fd int) {
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	for {
		conn, err := connOfFile(file)
		if err == nil {
			l.drained = append(l.drained, conn)
			return
		}
		l.recover(err)
		if !socket.Exhausted(err) || l.drainEnd.Err() != nil {
			return
		}
	}
}

// connOfFile returns the connection of a file, with a descriptor of its own.
func connOfFile(file *os.File) (net.Conn, error) {
	if err := fault.Injected(fault.Duplicate); err != nil {
		return nil, err
	}
	return net.FileConn(file)
}
