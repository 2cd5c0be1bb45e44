package standin

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes the connections of sidecars on to a server, and disturbs them. That a sidecar closes its side always passes
// at once, so that the server's records tell when an attempt was given up.
type Proxy struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup
	silent   atomic.Bool  // nothing passes
	delay    atomic.Int64 // of what the server sends, in nanoseconds

	mu     sync.Mutex
	pairs  map[*proxyPair]bool
	closed bool
}

// proxyPair is a connection of a sidecar with the one to the server.
type proxyPair struct{ sidecar, server net.Conn }

// NewProxy starts a proxy for the server at an address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener, pairs: map[*proxyPair]bool{}}
	p.running.Go(p.accept)
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetSilent loses all bytes in both directions, or lets them pass.
func (p *Proxy) SetSilent(silent bool) { p.silent.Store(silent) }

// SetDelay delays what the server sends.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// ResetAll resets all connections on both sides.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		reset(pair.sidecar)
		reset(pair.server)
	}
}

// Close resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ResetAll()
	p.running.Wait()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serve(conn) })
	}
}

// serve copies between a sidecar and the server until one of them ends.
func (p *Proxy) serve(sidecar net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(sidecar)
		return
	}
	pair := &proxyPair{sidecar: sidecar, server: server}
	if !p.track(pair) {
		return
	}
	done := make(chan struct{})
	p.running.Go(func() {
		defer close(done)
		p.copy(server, sidecar, nil)
		server.Close() // the sidecar has closed, or is gone
	})
	p.copy(sidecar, server, &p.delay)
	sidecar.Close()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

func (p *Proxy) track(pair *proxyPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		reset(pair.sidecar)
		reset(pair.server)
		return false
	}
	p.pairs[pair] = true
	return true
}

// copy copies until an end or an error; a reset is passed on as a reset. What comes while the proxy is silent is lost, and all
// that follows it on this connection, as when a machine is cut off and never comes back; that an end comes is noticed.
func (p *Proxy) copy(to, from net.Conn, delay *atomic.Int64) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || n > 0 && p.silent.Load()
		if n > 0 && !lost {
			if delay != nil {
				time.Sleep(time.Duration(delay.Load()))
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
