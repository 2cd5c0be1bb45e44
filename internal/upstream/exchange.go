package upstream

import (
	"context"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// exchangeOutcome describes how an exchange of a request and a response ended.
type exchangeOutcome struct {
	outcome      Outcome
	connReusable bool // the connection may carry another request
}

// failedExchange returns the outcome of an exchange without a complete response. Its connection must be closed.
func failedExchange(result balance.Result, err error) exchangeOutcome {
	return exchangeOutcome{outcome: Outcome{Result: result, Err: err}}
}

// runInterruptible runs an exchange that may take until the deadline. If ctx is done, it interrupts the exchange: all
// reads and writes of the connection return an error, and the connection is not reused.
func runInterruptible(
	ctx context.Context, conn *endpointConn, deadline time.Time, exchange func() exchangeOutcome,
) exchangeOutcome {
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(socket.PastDeadline) })
	result := exchange()
	interrupted := !stop()
	result.connReusable = result.connReusable && !interrupted
	return result
}

// exchange writes the request of an attempt and reads its response.
func (c *Client) exchange(attempt *Attempt, conn *endpointConn) exchangeOutcome {
	if attempt.Message.Upload != nil {
		return c.exchangeUpload(attempt, conn)
	}
	return c.exchangeBuffered(attempt, conn)
}

// exchangeBuffered sends a request whose complete body is in memory and reads the response.
func (c *Client) exchangeBuffered(attempt *Attempt, conn *endpointConn) exchangeOutcome {
	request, err := attempt.Message.Encode(attempt.Deadline)
	if err != nil {
		return failedExchange(balance.NotAttempted, err)
	}
	// A request that was executed must not be retried. Writing it in a single call makes the number of bytes that the
	// kernel accepted show whether the last byte was sent.
	if written, err := conn.Write(request); written < len(request) {
		return failedExchange(attempt.writeErrorResult(err), err)
	}
	c.metrics.Attempts.Add(1)
	response, err := conn.reader.Next(attempt.Message.Method, deadlineObserver{attempt, conn})
	if err != nil {
		return failedExchange(attempt.readErrorResult(err), err)
	}
	return c.handleResponse(attempt, conn, response)
}

// exchangeUpload sends a request while its body is still arriving from the client. The response may arrive before the
// body is complete.
func (c *Client) exchangeUpload(attempt *Attempt, conn *endpointConn) exchangeOutcome {
	upload := newUploadWriter(attempt.Message.Upload, conn)
	request := attempt.Message.NewRequest(attempt.PostUploadTimeout, upload.source, upload.source.Length)
	go upload.run(request, func() { c.uploadSent(attempt, conn) })

	response, err := conn.reader.Next(attempt.Message.Method, uploadObserver{attempt: attempt})
	var result exchangeOutcome
	if err == nil {
		result = c.handleResponse(attempt, conn, response)
	}
	sent := upload.stop()
	if sent {
		<-upload.done // until then, it may set deadlines of the connection and call uploadSent
	}
	switch {
	case err == nil:
		result.connReusable = result.connReusable && sent
		return result
	case sent:
		return failedExchange(attempt.readErrorResult(err), err)
	default:
		return exchangeOutcome{outcome: upload.incompleteOutcome(attempt, err)}
	}
}

// uploadSent is called when the last byte of a streamed request body was written. It starts the time limit of the response.
func (c *Client) uploadSent(attempt *Attempt, conn *endpointConn) {
	c.metrics.Attempts.Add(1)
	due := time.Now().Add(attempt.PostUploadTimeout)
	attempt.setReadDeadline(conn, earlier(attempt.Deadline, due))
	attempt.Observer.UploadSent(attempt)
}

// handleResponse returns the outcome of an exchange that got a response. If the response is streamed, it returns when the
// stream has ended.
func (c *Client) handleResponse(attempt *Attempt, conn *endpointConn, response http1.Response) exchangeOutcome {
	outcome := Outcome{Result: statusResult(response.Head), LoadReport: loadReportFrom(response.Head, c.loadReportFields)}
	if outcome.Result != balance.OK {
		return exchangeOutcome{outcome, !response.Streaming && conn.reusableAfter(response)}
	}
	response.Head.Header.Del(LoadReportHeader)
	http1.RemoveHopHeaders(response.Head.Header)
	if !response.Streaming {
		outcome.Response = bufferedResponse(response)
		return exchangeOutcome{outcome, conn.reusableAfter(response)}
	}
	err := streamToClient(attempt, conn, response)
	outcome.Result = attempt.streamResult(err)
	outcome.Err = err
	return exchangeOutcome{outcome, err == nil && conn.reusableAfter(response)}
}
