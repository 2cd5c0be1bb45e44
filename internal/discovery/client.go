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

// maxListBytes is the maximum size of a response body that is read. A longer one is cut off, which makes the list
// invalid.
const maxListBytes = 4 << 20

// dialFunc is a function that opens connections, such as net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// client makes the calls to discovery over a single connection.
type client struct {
	http http.Client
}

// newClient returns a client that opens its connection with dial, which may take at most timeout.
func newClient(dial dialFunc, timeout time.Duration) *client {
	// The transport does not stop dialing when the call that waits for the connection times out.
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

// do makes a call and enforces its timeouts. Errors are of type *CallError, which wraps context.DeadlineExceeded after
// a timeout.
func (c *client) do(ctx context.Context, call httpCall) (*membership.EndpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	firstByteTimer := time.AfterFunc(call.firstByteTimeout, func() { cancelCause(context.DeadlineExceeded) })
	defer firstByteTimer.Stop()
	list, err := c.fetch(ctx, call, func() { firstByteTimer.Stop() })
	if err != nil {
		// The transport continues to dial for a cancelled call, and the next call would wait for that connection.
		c.closeIdleConnections()
		return nil, &CallError{Address: call.address, Err: cmp.Or(context.Cause(ctx), err)}
	}
	return list, nil
}

// fetch makes a call and returns the list that it receives. It calls responseStarted when it has received the head of
// the response.
func (c *client) fetch(ctx context.Context, call httpCall, responseStarted func()) (*membership.EndpointList, error) {
	request, err := call.httpRequest(ctx)
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
	return call.parseResponse(body)
}

// closeIdleConnections closes the connection, or stops opening it, if no call uses it.
func (c *client) closeIdleConnections() { c.http.CloseIdleConnections() }
