// Package upstream sends attempts and health checks to servers over a pool of connections and reports how they ended.
//
// It uses no http.Transport: that sends a request again by itself when an idle connection turns out to be dead, and does
// not report whether the last byte was written. An attempt must know that: a request whose last byte was not written
// has not run, and may be sent again.
//
// The event loop owns the endpoints and the attempts; the package reads them, and shares with the loop only the atomic
// fields Endpoint.Address, Endpoint.Closed and Attempt.RequestDone. Client.Do and Client.CheckHealth run on a goroutine of
// their caller, one for each attempt or health check. An attempt with a streamed request body starts one more, which
// writes the body. Pool.Run is the goroutine that closes idle connections; a mutex guards the pool.
package upstream

import (
	"context"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/metrics"
)

// Client sends attempts and health checks to servers. Its methods may be called from any goroutine.
type Client struct {
	pool       *Pool
	loadFields []string // names of the figures of a load report, in the order of Result.LoadReport
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
func (c *Client) Do(attempt *Attempt) Result {
	if attempt.obsolete() {
		return Result{Outcome: balance.NotAttempted}
	}
	conn, err := c.pool.get(attempt.Context, attempt.Endpoint, attempt.Deadline)
	if err != nil {
		return Result{Outcome: connectOutcome(attempt, err), Err: err}
	}
	// While the connection was opened, the server may have begun to drain, the request may have ended, and its client
	// may have left. The kernel knows of that first: the reader of its connection, and the loop, may still wait for
	// their share of the processor. Nothing was sent yet.
	clientGone := attempt.Message.ClientGone()
	if clientGone || attempt.mustNotSend() {
		c.pool.put(conn)
		return Result{Outcome: balance.NotAttempted, ClientGone: clientGone}
	}
	end := c.exchange(attempt, conn)
	c.pool.giveBack(conn, end.reusable)
	return end.result
}

// exchangeEnd is how an exchange of a request and a response ended.
type exchangeEnd struct {
	result   Result
	reusable bool // the connection may carry another request
}

// failedExchange is the end of an exchange without a complete response. Its connection must be closed.
func failedExchange(outcome balance.Result, err error) exchangeEnd {
	return exchangeEnd{result: Result{Outcome: outcome, Err: err}}
}

// exchange writes the request and reads the response. Cancelling the attempt interrupts both and closes the connection.
func (c *Client) exchange(attempt *Attempt, conn *serverConn) exchangeEnd {
	conn.SetDeadline(attempt.Deadline)
	stop := interruptWhenDone(attempt.Context, conn)
	var end exchangeEnd
	if attempt.Message.Upload != nil {
		end = c.exchangeUpload(attempt, conn)
	} else {
		end = c.exchangeBuffered(attempt, conn)
	}
	interrupted := !stop()
	end.reusable = end.reusable && !interrupted
	return end
}

// exchangeBuffered exchanges a request whose body is in memory.
func (c *Client) exchangeBuffered(attempt *Attempt, conn *serverConn) exchangeEnd {
	request, err := attempt.Message.Encode(attempt.Deadline)
	if err != nil {
		return failedExchange(balance.NotAttempted, err)
	}
	// One write, so that the number of bytes that the kernel accepted shows whether the last byte was sent.
	if written, err := conn.Write(request); written < len(request) {
		return failedExchange(writeOutcome(attempt, err), err)
	}
	c.metrics.Attempts.Add(1)
	response, err := conn.reader.Next(attempt.Message.Method, deadlineObserver{attempt, conn})
	if err != nil {
		return failedExchange(attempt.brokenOutcome(err), err)
	}
	return c.conclude(attempt, conn, response)
}

// exchangeUpload writes a request while its body is still coming from the client. The response may come meanwhile.
func (c *Client) exchangeUpload(attempt *Attempt, conn *serverConn) exchangeEnd {
	upload := newUploadWriter(attempt.Message.Upload, conn)
	request := attempt.Message.NewRequest(attempt.TimeAfterUpload, upload.source, upload.source.Length)
	go upload.run(request, func() { c.uploadComplete(attempt, conn) })

	response, err := conn.reader.Next(attempt.Message.Method, uploadObserver{attempt})
	var end exchangeEnd
	if err == nil {
		end = c.conclude(attempt, conn, response)
	}
	complete := upload.abandon()
	if complete {
		<-upload.done // it still sets deadlines of the connection and reports that the last byte was written
	}
	if err != nil {
		return exchangeEnd{result: upload.failure(attempt, complete, err)}
	}
	end.reusable = end.reusable && complete
	return end
}

// uploadComplete reports that the last byte of a streamed request was written. From now on the response is due.
func (c *Client) uploadComplete(attempt *Attempt, conn *serverConn) {
	c.metrics.Attempts.Add(1)
	due := time.Now().Add(attempt.TimeAfterUpload)
	attempt.setReadDeadline(conn, earlier(attempt.Deadline, due))
	attempt.Observer.UploadComplete(attempt)
}

// conclude returns the result that a response stands for. A streamed one has gone to the client when it returns.
func (c *Client) conclude(attempt *Attempt, conn *serverConn, response http1.Response) exchangeEnd {
	result := Result{Outcome: outcomeOf(response.Head), LoadReport: loadReportFrom(response.Head, c.loadFields)}
	if result.Outcome != balance.OK {
		return exchangeEnd{result, !response.Streaming && conn.reusableAfter(response)}
	}
	response.Head.Header.Del(LoadReportHeader)
	http1.RemoveHopHeaders(response.Head.Header)
	if !response.Streaming {
		result.Response = forClient(response)
		return exchangeEnd{result, conn.reusableAfter(response)}
	}
	err := stream(attempt, conn, response)
	result.Outcome = streamOutcome(attempt, err)
	result.Err = err
	return exchangeEnd{result, err == nil && conn.reusableAfter(response)}
}

// interruptWhenDone ends all reading and writing on a connection when ctx ends. The function returned cancels that, and
// reports false if it is too late.
func interruptWhenDone(ctx context.Context, conn *serverConn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
}
