package discovery

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"cindersaddle/internal/membership"
)

// maxListBytes is the size of the longest list that is read; what exceeds it is cut off, which makes it invalid.
const maxListBytes = 4 << 20

// dialFunc opens connections as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// client makes the calls to discovery, over one connection.
type client struct {
	http http.Client
}

// newClient returns a client that opens its connections by dial, each within timeout.
func newClient(dial dialFunc, timeout time.Duration) *client {
	// The transport dials independently of the call that waits for the connection and of its timeout.
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &client{http: http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1,
		MaxIdleConns:    1,
		DialContext:     dialWithTimeout,
	}}}
}

// do makes a call within its timeouts. Its errors are CallErrors; one of a timeout wraps context.DeadlineExceeded.
func (c *client) do(ctx context.Context, call call) (*membership.EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	firstByteTimer := time.AfterFunc(call.firstByteTimeout, func() { cancelCause(context.DeadlineExceeded) })
	defer firstByteTimer.Stop()
	list, err := c.fetch(ctx, call, func() { firstByteTimer.Stop() })
	if err != nil {
		// The transport goes on with the connection of a cancelled call, and the next call would wait for it.
		c.closeIdleConnections()
		return nil, &CallError{Address: call.address, Err: cmp.Or(context.Cause(ctx), err)}
	}
	return list, nil
}

// fetch makes a call and reads the list. It calls responseStarted once the head of the response has come.
func (c *client) fetch(ctx context.Context, call call, responseStarted func()) (*membership.EndpointList, error) {
	request, err := call.request(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	responseStarted()
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.Status}
	}
	return call.parse(body)
}

// closeIdleConnections closes the connection if no call uses it.
func (c *client) closeIdleConnections() { c.http.CloseIdleConnections() }
