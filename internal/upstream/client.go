// Package upstream sends attempts and health checks to endpoints over a pool of connections and reports how they ended.
//
// It uses no http.Transport: that sends a request again by itself when an idle connection turns out to be dead, and does
// not report whether the last byte was written. An attempt must know that: a request whose last byte was not written
// was not executed, and may be retried.
//
// The event loop owns the endpoints and the attempts; the package reads them, and shares with the loop only the atomic
// fields Endpoint.Address, Endpoint.Closed and Attempt.RequestDone. Client.Do and Client.CheckHealth run on a goroutine of
// their caller, one for each attempt or health check. An attempt with a streamed request body starts one more, which
// writes the body. Pool.Run is the goroutine that closes idle connections; a mutex guards the pool.
package upstream

import (
	"cindersaddle/balance"
	"cindersaddle/internal/metrics"
)

// Client sends attempts and health checks to endpoints. Its methods may be called from any goroutine.
type Client struct {
	pool       *Pool
	loadFields []string // names of the figures of a load report, in the order of Ending.LoadReport
	checkPath  string   // path of the requests of health checks

	metrics *metrics.Metrics
}

// NewClient returns a client that sends over the connections of a pool. Load reports are read in the order of fields,
// and health checks request checkPath.
func NewClient(pool *Pool, fields []string, checkPath string, counters *metrics.Metrics) *Client {
	return &Client{pool: pool, loadFields: fields, checkPath: checkPath, metrics: counters}
}

// CloseIdle closes the idle connections to an endpoint.
func (c *Client) CloseIdle(endpoint *Endpoint) { c.pool.CloseIdle(endpoint) }

// Do makes an attempt and returns how it ended, which is at its deadline or soon after its cancellation at the latest
// unless it streams the response.
func (c *Client) Do(attempt *Attempt) Ending {
	if attempt.obsolete() {
		return Ending{Result: balance.NotAttempted}
	}
	conn, err := c.pool.get(attempt.Context, attempt.Endpoint, attempt.Deadline)
	if err != nil {
		return Ending{Result: attempt.connectResult(err), Err: err}
	}
	// Guards against executing a request for a client that has disconnected, or at an endpoint that drains, because that happened
	// while the connection was being opened. The last check before the first byte asks the kernel about the client: the
	// goroutine that watches its connection, and the event loop, may not have run since.
	clientDisconnected := attempt.Message.ClientDisconnected()
	if clientDisconnected || attempt.mustNotSend() {
		c.pool.put(conn)
		return Ending{Result: balance.NotAttempted, ClientDisconnected: clientDisconnected}
	}
	end := interruptible(attempt.Context, conn, attempt.Deadline, func() exchangeEnd { return c.exchange(attempt, conn) })
	return c.finish(conn, end)
}

// finish ends the use of a connection and returns the result of its exchange.
func (c *Client) finish(conn *endpointConn, end exchangeEnd) Ending {
	if end.reusable {
		c.pool.put(conn)
	} else {
		c.pool.closeConn(conn)
	}
	return end.ending
}
