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
func (p *Pool) connect(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*endpointConn, error) {
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

// dial opens a connection to an address that the endpoint has, or had a moment ago.
func (p *Pool) dial(ctx context.Context, endpoint *Endpoint, address *string, deadline time.Time) (*endpointConn, error) {
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
	return newEndpointConn(conn, endpoint, address), nil
}
