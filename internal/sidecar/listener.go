package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// soReusePort is SO_REUSEPORT of Linux, which package syscall does not name.
const soReusePort = 15

// listenShared listens so that a process of an upgrade can listen at the same address beside this one. Where the
// option is refused, the address is this process's own.
func listenShared(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// listener outlives a lack of descriptors: what waits in the backlog counts as taken, so that the pause must be
// short, and a silent connection is worth less than a new one. For the same reason it takes all that waits before it
// ends, which the kernel would reset.
type listener struct {
	net.Listener
	clients *clients
	pool    *pool

	shared atomic.Bool // another process takes from the same queue
	ending atomic.Bool
	closed chan struct{} // once nothing more is taken
	ended  bool          // of the accepting goroutine: the queue is empty and the listener closed
	rest   []net.Conn    // of the accepting goroutine: what waited at the end
}

func newListener(ln net.Listener, clients *clients, pool *pool) *listener {
	return &listener{Listener: ln, clients: clients, pool: pool, closed: make(chan struct{})}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err == nil {
			if cl := l.clients.add(c.(*net.TCPConn)); cl != nil {
				return cl, nil
			}
			continue
		}
		if !exhausted(err) {
			return nil, err
		}
		l.free()
	}
}

// Close ends the listener; it may have ended already.
func (l *listener) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// free makes room for a connection, or waits a little for it.
func (l *listener) free() {
	if !l.pool.evict() && !l.clients.evict() {
		time.Sleep(acceptPause)
	}
}

// end makes Accept return what waits in the queue, and then that the listener is closed. It returns when that is so.
func (l *listener) end(limit context.Context) {
	l.ending.Store(true)
	if ln, ok := l.Listener.(*net.TCPListener); ok {
		ln.SetDeadline(time.Unix(1, 0)) // wakes Accept
	}
	select {
	case <-l.closed:
	case <-limit.Done():
	}
}

func (l *listener) accept() (net.Conn, error) {
	if !l.ended {
		c, err := l.Listener.Accept()
		if err == nil || !l.ending.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		l.empty(l.Listener.(*net.TCPListener))
	}
	if len(l.rest) == 0 {
		return nil, net.ErrClosed
	}
	c := l.rest[0]
	l.rest = l.rest[1:]
	return c, nil
}

// empty takes what waits in the queue and stops listening in the moment in which nothing does.
func (l *listener) empty(ln *net.TCPListener) {
	l.ended = true
	defer close(l.closed)
	defer ln.Close()
	control(ln, func(fd uintptr) {
		for {
			got, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case err == nil:
				if c := adopt(got); c != nil {
					l.rest = append(l.rest, c)
				}
			case exhausted(err):
				l.free()
			case err == syscall.EINTR || err == syscall.ECONNABORTED:
			default:
				if !l.shared.Load() { // else it would end for the other process too
					syscall.Shutdown(int(fd), syscall.SHUT_RD)
				}
				return
			}
		}
	})
}

// control calls do with the descriptor of a listener, if it has one.
func control(ln net.Listener, do func(fd uintptr)) {
	if c, ok := ln.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			raw.Control(do)
		}
	}
}

// adopt makes a connection of a descriptor.
func adopt(fd int) net.Conn {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close() // FileConn has a copy
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
