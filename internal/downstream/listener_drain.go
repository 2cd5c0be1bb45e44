package downstream

import (
	"context"
	"net"
	"os"
	"syscall"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// Drain makes Accept return the connections that wait in the listen queue, and then net.ErrClosed. It returns when the
// listener is closed, or when ctx ends. It guards against clients whose connection is reset although they consider it
// accepted, which is what the kernel does with the listen queue of a listener that is closed.
func (l *Listener) Drain(ctx context.Context) {
	if !l.draining.Load() {
		l.drainCtx = ctx
		l.draining.Store(true)
	}
	if ln, ok := l.Listener.(*net.TCPListener); ok {
		ln.SetDeadline(socket.PastDeadline) // interrupts Accept
	}
	select {
	case <-l.acceptDone:
	case <-ctx.Done():
	}
}

// ShareQueue records that another process accepts from the same listen queue, and goes on doing so after Drain. It must be
// called before Drain.
func (l *Listener) ShareQueue() { l.queueShared.Store(true) }

// drainQueue accepts all connections from the listen queue and closes the listener.
func (l *Listener) drainQueue(ln *net.TCPListener) {
	l.queueDrained = true
	defer ln.Close()
	socket.Control(ln, func(fd uintptr) { l.acceptQueued(int(fd)) })
}

// acceptQueued accepts connections until the listen queue is empty, and stops listening at that moment. It goes on after
// errors other than an empty queue or a broken listener, as they leave connections in the queue.
func (l *Listener) acceptQueued(listenerFD int) {
	for {
		fd, err := acceptDescriptor(listenerFD)
		if err == nil {
			l.addPending(fd)
			continue
		}
		if err == syscall.EINTR {
			continue
		}
		if err == syscall.EAGAIN || socket.ListenerBroken(err) || l.drainCtx.Err() != nil {
			break
		}
		l.handleAcceptError(err)
	}
	if !l.queueShared.Load() { // a shutdown would end the listening of the other process too
		syscall.Shutdown(listenerFD, syscall.SHUT_RD)
	}
}

// acceptDescriptor accepts a connection without waiting. The error is a syscall.Errno: EAGAIN if the queue is empty.
func acceptDescriptor(listenerFD int) (int, error) {
	if err := fault.Injected(fault.Accept); err != nil {
		return 0, err
	}
	fd, _, err := syscall.Accept4(listenerFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return fd, err
}

// addPending adds the connection of a descriptor to those that Accept returns. Its client considers it accepted: while no
// descriptor is available for its duplicate, another connection is evicted.
func (l *Listener) addPending(fd int) {
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	for {
		conn, err := connFromFile(file)
		if err == nil {
			l.pendingConns = append(l.pendingConns, conn)
			return
		}
		l.handleAcceptError(err)
		if !socket.Exhausted(err) || l.drainCtx.Err() != nil {
			return
		}
	}
}

// connFromFile returns the connection of a file, with a descriptor of its own.
func connFromFile(file *os.File) (net.Conn, error) {
	if err := fault.Injected(fault.Duplicate); err != nil {
		return nil, err
	}
	return net.FileConn(file)
}
