package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// connect opens a connection until a deadline.
func (p *Pool) connect(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*serverConn, error) {
	if err := p.reserve(); err != nil {
		return nil, fmt.Errorf("connect to endpoint %s: %w", endpoint.Name, err)
	}
	address := endpoint.Address.Load()
	conn, err := p.dial(ctx, endpoint, address, deadline)
	if err == nil {
		return conn, nil
	}
	p.release()
	if socket.Exhausted(err) {
		p.Evict()
		err = &noSocketError{Err: err}
	}
	return nil, &connectError{Endpoint: endpoint.Name, Address: *address, Err: err}
}

func (p *Pool) dial(ctx context.Context, endpoint *Endpoint, address *string, deadline time.Time) (*serverConn, error) {
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: deadline, KeepAlive: -1}
	if err := fault.Injected(fault.Connect); err != nil {
		return nil, err
	}
	conn, err := dialer.DialContext(ctx, "tcp", *address)
	if err != nil {
		return nil, err
	}
	if p.AfterDial != nil {
		p.AfterDial()
	}
	return newServerConn(conn, endpoint, address), nil
}
