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

// proxyConnectTimeout limits how long the proxy takes to connect to the server.
const proxyConnectTimeout = time.Second

// proxyBufferSize is the most bytes that the proxy forwards in one write.
const proxyBufferSize = 16 << 10 // 16 KiB

// Proxy forwards the connections of sidecars to a server, and can delay, discard or reset their traffic. When a sidecar
// closes a connection, the proxy forwards that at once, even while it disturbs the traffic, so that the server's
// records show when the sidecar closed the connection of an attempt.
type Proxy struct {
	target           string
	listener         net.Listener
	goroutines       sync.WaitGroup
	conns            connTracker
	partitioned      atomic.Bool  // whether received bytes are discarded
	delayNanoseconds atomic.Int64 // pause before each write to a sidecar
}

// NewProxy starts a proxy for the server at the address target. It returns an error if it cannot listen.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	p := &Proxy{target: target, listener: listener}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Partition makes the proxy discard all bytes in both directions until Heal is called.
func (p *Proxy) Partition() { p.partitioned.Store(true) }

// Heal ends a partition. A direction of a connection in which bytes were discarded stays without traffic.
func (p *Proxy) Heal() { p.partitioned.Store(false) }

// SetDelay sets the delay of the bytes that the server sends. 0 ends the delay.
func (p *Proxy) SetDelay(delay time.Duration) { p.delayNanoseconds.Store(int64(delay)) }

// ResetAll resets all connections, to sidecars and to the server.
func (p *Proxy) ResetAll() { p.conns.resetAll() }

// Close stops listening, resets all connections and waits until the proxy's goroutines have ended.
func (p *Proxy) Close() {
	p.listener.Close()
	p.conns.close()
	p.goroutines.Wait()
}

// accept accepts connections until the listener is closed, and serves each in its own goroutine.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(conn) })
	}
}

// serve forwards bytes between a sidecar and the server until both directions have ended.
func (p *Proxy) serve(sidecarConn net.Conn) {
	serverConn, err := net.DialTimeout("tcp", p.target, proxyConnectTimeout)
	if err != nil {
		reset(sidecarConn)
		return
	}
	if !p.conns.add(sidecarConn, serverConn) {
		return
	}
	defer p.conns.remove(sidecarConn, serverConn)
	requestsDone := make(chan struct{})
	p.goroutines.Go(func() {
		defer close(requestsDone)
		p.forward(serverConn, sidecarConn, func() {})
		serverConn.Close()
	})
	p.forward(sidecarConn, serverConn, func() { time.Sleep(time.Duration(p.delayNanoseconds.Load())) })
	sidecarConn.Close()
	<-requestsDone
}

// forward copies bytes until the end of the stream or an error, and calls beforeWrite before each write. It forwards a
// read error as a reset. Bytes that arrive during a partition are discarded, and so are all later ones in this
// direction, as the other side must not receive a stream with a gap. The end of the stream is detected even while bytes
// are discarded.
func (p *Proxy) forward(to, from net.Conn, beforeWrite func()) {
	buffer := make([]byte, proxyBufferSize)
	discarding := false
	for {
		n, err := from.Read(buffer)
		discarding = discarding || n > 0 && p.partitioned.Load()
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
