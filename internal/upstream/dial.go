package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// connect opens a new connection to an endpoint. It may take until the deadline.
func (p *Pool) connect(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*endpointConn, error) {
	if err := p.reserveConn(); err != nil {
		return nil, fmt.Errorf("connect to endpoint %s: %w", endpoint.Name, err)
	}
	address := endpoint.Address.Load()
	conn, err := p.dial(ctx, endpoint, address, deadline)
	if err == nil {
		return conn, nil
	}
	p.releaseReservation()
	if socket.Exhausted(err) {
		p.Evict()
		err = &noSocketError{Err: err}
	}
	return nil, &connectError{Endpoint: endpoint.Name, Address: *address, Err: err}
}

// dial opens a connection to address, which Endpoint.Address held when connect was called. It may have changed since.
func (p *Pool) dial(ctx context.Context, endpoint *Endpoint, address *string, deadline time.Time) (*endpointConn, error) {
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: deadline, KeepAlive: -1}
	if err := fault.InjectedError(fault.Connect); err != nil {
		return nil, err
	}
	conn, err := dialer.DialContext(ctx, "tcp", *address)
	if err != nil {
		return nil, err
	}
	if p.afterDial != nil {
		p.afterDial()
	}
	return newEndpointConn(conn, endpoint, address), nil
}
