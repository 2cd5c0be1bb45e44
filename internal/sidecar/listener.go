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
	"unsafe"
)

// Options of Linux that package syscall does not name.
const (
	soReusePort  = 15 // SO_REUSEPORT
	soAttachCBPF = 51 // SO_ATTACH_REUSEPORT_CBPF
	soDetachBPF  = 68 // SO_DETACH_REUSEPORT_BPF
)

// settling is how long a listener whose address goes to another process yet takes connections: those that it was
// chosen for before.
const settling = 20 * time.Millisecond

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
				syscall.Shutdown(int(fd), syscall.SHUT_RD)
				return
			}
		}
	})
}

// steer leads all new connections to the process that listened at the same address after this one. Without it, one
// whose handshake crosses the end of the listener that it was led to is reset. Where the kernel refuses, connections
// go on being spread.
func steer(ln net.Listener) {
	const returnK = 0x06 // BPF_RET|BPF_K: of the sockets of the address the one with this index
	code := [1]syscall.SockFilter{{Code: returnK, K: 1}}
	prog := syscall.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	control(ln, func(fd uintptr) {
		syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, soAttachCBPF,
			uintptr(unsafe.Pointer(&prog)), unsafe.Sizeof(prog), 0)
	})
}

// spread undoes what steer did, for all processes of the address: the next one to listen is not ready at once.
func spread(ln net.Listener) {
	control(ln, func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soDetachBPF, 0) })
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
