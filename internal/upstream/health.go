package upstream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
)

// healthCheckSlack is how long a health check may take beyond the time for a connection.
const healthCheckSlack = 250 * time.Millisecond

// CheckHealth makes a health check of an endpoint and returns how it ended. It may take the time for a connection and
// healthCheckSlack. Its result has no Response.
func (c *Client) CheckHealth(ctx context.Context, endpoint *Endpoint) Ending {
	deadline := time.Now().Add(c.pool.connectTimeout + healthCheckSlack)
	conn, err := c.pool.get(ctx, endpoint, deadline)
	if err != nil {
		return Ending{Result: connectResult(ctx, err)}
	}
	if endpoint.Closed.Load() { // it began to drain while the connection was opened
		c.pool.put(conn)
		return Ending{Result: balance.NotAttempted}
	}
	end := interruptible(ctx, conn, deadline, func() exchangeEnd { return c.requestHealth(conn) })
	return c.finish(conn, end)
}

// requestHealth sends the request of a health check and reads its response.
func (c *Client) requestHealth(conn *endpointConn) exchangeEnd {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.checkPath, *conn.address); err != nil {
		return failedExchange(balance.ConnectFailed, err)
	}
	response, err := conn.reader.Next(http.MethodGet, http1.IgnoreProgress{})
	if err != nil {
		return failedExchange(readResult(err), err)
	}
	return exchangeEnd{c.healthResult(response), conn.reusableAfter(response)}
}

// healthResult returns the result of a health check. The load report is in the header or in the body.
func (c *Client) healthResult(response http1.Response) Ending {
	ending := Ending{Result: balance.ServerError, LoadReport: loadReportFrom(response.Head, c.loadFields)}
	if ending.LoadReport == nil {
		ending.LoadReport = parseLoadReport(string(response.Body), c.loadFields)
	}
	if response.Head.StatusCode == http.StatusOK {
		ending.Result = balance.OK
	}
	return ending
}
