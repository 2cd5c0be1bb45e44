package sidecartest

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"cindersaddle/internal/timing"
)

// LossyDialer simulates how the kernel connects while the SYN packets to a server are lost. The kernel retransmits them
// 1 s, 3 s, 7 s and so on after the first one. The first retransmission after the server is reachable again establishes
// the connection.
type LossyDialer struct {
	ReachableAt time.Time      // time from which the server is reachable again
	Accept      func(net.Conn) // handles the server side of each connection in a new goroutine
	MaxPending  atomic.Int32   // largest number of connections that were being established at the same time

	pending atomic.Int32 // number of connections that are being established
}

// Dial has the signature of net.Dialer.DialContext. It ignores the network and the address, and connects through
// net.Pipe.
func (dialer *LossyDialer) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	dialer.MaxPending.Store(max(dialer.MaxPending.Load(), dialer.pending.Add(1)))
	defer dialer.pending.Add(-1)
	for pause := time.Second; time.Now().Before(dialer.ReachableAt); pause *= 2 {
		timing.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	clientSide, serverSide := net.Pipe()
	go dialer.Accept(serverSide)
	return clientSide, nil
}
