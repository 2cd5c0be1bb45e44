package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyConnectTimeout bounds the establishment of a connection to the server.
const proxyConnectTimeout = time.Second

// Proxy forwards the connections of sidecars to a server and disturbs them. When a sidecar closes its side, that is forwarded
// at once also during a disturbance, so that the records of the server show when the sidecar closed the connection of an attempt.
type Proxy struct {
	target    string
	listener  net.Listener
	running   sync.WaitGroup
	conns     connTracker
	partition atomic.Bool  // nothing is forwarded
	delay     atomic.Int64 // of what the server sends, in nanoseconds
}

// NewProxy starts a proxy for the server at an address. It returns an error if it cannot listen.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener}
	p.running.Go(p.accept)
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Partition discards all bytes in both directions until Heal is called.
func (p *Proxy) Partition() { p.partition.Store(true) }

// Heal ends a partition for connections that had nothing discarded. The others remain without traffic.
func (p *Proxy) Heal() { p.partition.Store(false) }

// SetDelay delays what the server sends; 0 ends the delay.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// ResetAll resets all connections on both sides.
func (p *Proxy) ResetAll() { p.conns.resetAll() }

// Close resets all connections and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.conns.close()
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

// serve forwards between a sidecar and the server until both directions have ended.
func (p *Proxy) serve(sidecar net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, proxyConnectTimeout)
	if err != nil {
		reset(sidecar)
		return
	}
	if !p.conns.add(sidecar, server) {
		return
	}
	defer p.conns.remove(sidecar, server)
	requestsDone := make(chan struct{})
	p.running.Go(func() {
		defer close(requestsDone)
		p.forward(server, sidecar, func() {})
		server.Close()
	})
	p.forward(sidecar, server, func() { time.Sleep(time.Duration(p.delay.Load())) })
	sidecar.Close()
	<-requestsDone
}

// forward copies bytes until the end of the stream or an error, and calls beforeWrite before each write. A reset is forwarded as
// a reset. What comes during a partition is discarded, and so is all that follows on this connection: the other side must not
// see a stream with a gap. The end of the stream is noticed also then.
func (p *Proxy) forward(to, from net.Conn, beforeWrite func()) {
	buffer := make([]byte, 16<<10)
	discarding := false
	for {
		n, err := from.Read(buffer)
		discarding = discarding || n > 0 && p.partition.Load()
		if n > 0 && !discarding {
			beforeWrite()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
