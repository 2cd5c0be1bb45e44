package downstream

import (
	"context"
	"net"
	"os"
	"syscall"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// Drain makes Accept return the connections in the listen queue and then net.ErrClosed. It returns when Accept has done
// so or when ctx ends. Closing the listener without a drain would lose connections that clients consider accepted: the
// kernel resets all connections in the listen queue of a closed listener.
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

// ShareQueue records that the successor may have received this socket, and accepts from the same listen queue after
// Drain too; see ListenShared. It must be called before Drain.
func (l *Listener) ShareQueue() { l.queueShared.Store(true) }

// drainQueue accepts all connections in the listen queue and closes the listener.
func (l *Listener) drainQueue(ln *net.TCPListener) {
	l.queueDrained = true
	defer ln.Close()
	socket.Control(ln, func(fd uintptr) { l.acceptQueued(int(fd)) })
}

// acceptQueued accepts connections until the listen queue is empty, and then stops listening. It continues after every
// error except that of an empty queue or a broken listener, because connections may remain in the queue. It stops early
// if the drain's context ends.
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
	if !l.queueShared.Load() { // SHUT_RD would make the other process stop listening too
		syscall.Shutdown(listenerFD, syscall.SHUT_RD)
	}
}

// acceptDescriptor accepts a connection without blocking and returns its file descriptor. The error is a syscall.Errno:
// EAGAIN if the queue is empty.
func acceptDescriptor(listenerFD int) (int, error) {
	if err := fault.InjectedError(fault.Accept); err != nil {
		return 0, err
	}
	fd, _, err := syscall.Accept4(listenerFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return fd, err
}

// addPending adds the connection of a file descriptor to pendingConns and closes the descriptor. The connection gets a
// duplicate of the descriptor. While none is available, addPending evicts other connections, because the client of this
// connection already considers it accepted.
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

// connFromFile returns the connection of a file, which gets a duplicate of the file descriptor.
func connFromFile(file *os.File) (net.Conn, error) {
	if err := fault.InjectedError(fault.Duplicate); err != nil {
		return nil, err
	}
	return net.FileConn(file)
}
