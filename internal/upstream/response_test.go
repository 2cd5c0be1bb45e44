package upstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/sidecartest"
)

// TestInvalidResponseFailsAtOnce checks the results of responses that cannot be used, and that the attempt does not
// wait for the rest of such a response. The rest may never arrive or never end, which would use up the request's time
// or the memory.
func TestInvalidResponseFailsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		response sidecartest.Step
		want     balance.Result
	}{
		"noise":                     {sidecartest.RespondRaw("\x80\x8a\xf9\xcf\r\n\r\n"), balance.ConnReset},
		"invalid status":            {sidecartest.RespondRaw("HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n"), balance.ConnReset},
		"no colon":                  {sidecartest.RespondRaw("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"), balance.ConnReset},
		"endless head":              {sidecartest.RespondEndlessly("HTTP/1.1 200 OK\r\n", "X-Pad: pppppppp\r\n"), balance.ConnReset},
		"endless line":              {sidecartest.RespondEndlessly("HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppp"), balance.ConnReset},
		"endless interim responses": {sidecartest.RespondEndlessly("", "HTTP/1.1 102 Processing\r\n\r\n"), balance.ConnReset},
		"two lengths":               {sidecartest.RespondRaw("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), balance.ConnReset},
		"body missing":              {sidecartest.RespondRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), balance.ConnReset},
		"length over the limit":     {sidecartest.RespondEndlessly("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x"), balance.ConnReset},
		"invalid chunk":             {sidecartest.RespondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), balance.ConnReset},
		"no length":                 {sidecartest.RespondRaw("HTTP/1.1 200 OK\r\n\r\nserved"), balance.ConnReset},
		"error, no length":          {sidecartest.RespondRaw("HTTP/1.1 500 Oops\r\n\r\nmore to come"), balance.ServerError},
		"rejected, no length":       {sidecartest.RespondRaw("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\n"), balance.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := sidecartest.NewScriptedServer(t, test.response)
			client := newTestClient(t, testMaxConns)
			start := time.Now()
			expectResult(t, client, newAttempt(newEndpoint(server.Addr), 2*sidecartest.Timeout), test.want)
			if took := time.Since(start); took > sidecartest.Timeout {
				t.Errorf("got a duration of %v, want at most %v", took, sidecartest.Timeout)
			}
			if client.pool.openConns != 0 {
				t.Errorf("got %d open connections, want 0", client.pool.openConns)
			}
		})
	}
}

// TestValidResponseAndConnectionReuse checks the body of valid responses, and that a connection is kept for reuse only
// if the server does not close it and no bytes follow the response.
func TestValidResponseAndConnectionReuse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"
	for name, test := range map[string]struct {
		text      string
		openConns int
	}{
		"plain":                       {head + "\r\nserved", 1},
		"interim":                     {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + head + "\r\nserved", 1},
		"chunks":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n", 1},
		"second response":             {strings.Repeat(head+"\r\nserved", 2), 0},
		"until the connection closes": {"HTTP/1.1 200 OK\r\nconnection: x, Close\r\n\r\nserved", 0},
		"HTTP/1.0":                    {"HTTP/1.0 200 OK\r\n\r\nserved", 0},
		"noise":                       {head + "\r\nserved\x01\x02\x03", 0},
		"invalid load report":         {head + LoadReportHeader + ": TEXT busy=-1, rate=3\r\n\r\nserved", 1},
	} {
		t.Run(name, func(t *testing.T) {
			step := sidecartest.RespondRaw(test.text)
			if test.openConns == 0 {
				step = sidecartest.RespondRawAndClose(test.text)
			}
			server := sidecartest.NewScriptedServer(t, step)
			client := newTestClient(t, testMaxConns)
			outcome := expectResult(t, client, newAttempt(newEndpoint(server.Addr), sidecartest.Timeout), balance.OK)
			if outcome.Response == nil || string(outcome.Response.Body) != "served" || outcome.LoadReport != nil {
				t.Errorf("got %+v, want the body \"served\" and no load report", outcome)
			}
			if client.pool.openConns != test.openConns {
				t.Errorf("got %d open connections, want %d", client.pool.openConns, test.openConns)
			}
		})
	}
}

// downloadReader is an Observer that reads a streamed response like a client, and records what it gets.
type downloadReader struct {
	ignoringObserver
	received int64
	err      error
}

func (r *downloadReader) StreamStarted(_ *Attempt, response *exchange.Response, _ time.Time) {
	download := response.Download
	rest, err := io.Copy(io.Discard, download.Body)
	r.received, r.err = int64(len(download.FirstBytes))+rest, err
	download.Finish(err)
}

// TestStoppedResponseEndsWithItsRequest guards against a short response that is never ended: the endpoint stops in the middle of
// it and keeps the connection open. For each framing the attempt must end in the time for a final response. If nothing was
// forwarded, an error can be that response; otherwise the response must not look complete.
func TestStoppedResponseEndsWithItsRequest(t *testing.T) {
	const timeout, latest = 300 * time.Millisecond, 800 * time.Millisecond
	for name, test := range map[string]struct {
		response string
		noMemory bool // for a response
		streamed bool
	}{
		"in chunks":                    {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n"},
		"within a chunk":               {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\nanswer"},
		"without the end of a chunk":   {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer"},
		"without the last empty line":  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n"},
		"to the end of the connection": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer"},
		"HTTP/1.0":                     {response: "HTTP/1.0 200 OK\r\n\r\nanswer"},
		"declared, no memory": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("a", 10_000),
			noMemory: true, streamed: true,
		},
		"in chunks, no memory": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("a", 5000), noMemory: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := sidecartest.NewScriptedServer(t, sidecartest.RespondRaw(test.response))
			attempt := newAttempt(newEndpoint(server.Addr), timeout)
			if test.noMemory {
				attempt.Message.Memory = memory.NewBudget(0).NewReservation()
			}
			reader := &downloadReader{}
			attempt.Observer = reader
			start := time.Now()
			want := balance.TimedOut
			if test.streamed {
				want = balance.ConnReset
			}
			expectResult(t, newTestClient(t, testMaxConns), attempt, want)
			if took := time.Since(start); took < timeout || took > latest {
				t.Errorf("got an end after %v, want one from %v to %v", took, timeout, latest)
			}
			if streamed := reader.received > 0; streamed != test.streamed || streamed && reader.err == nil {
				t.Errorf("got %d bytes of the response and error %v, want the first part and an error: %v",
					reader.received, reader.err, test.streamed)
			}
		})
	}
}

// TestResponseIsDecidedWithoutMemory guards against streaming a response of unknown length that may be short for lack of memory, and
// against not streaming one that is complete or long, which the bytes that wait in the kernel say.
func TestResponseIsDecidedWithoutMemory(t *testing.T) {
	const timeout = 400 * time.Millisecond
	chunk := func(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("a", bytes)) }
	const inChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const untilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		ends     bool // the endpoint closes the connection
		received int64
		want     balance.Result
	}{
		"in chunks, complete":     {inChunks + chunk(5000) + chunk(20_000) + "0\r\n\r\n", false, 25_000, balance.OK},
		"in small chunks":         {inChunks + strings.Repeat(chunk(10), 1000) + "0\r\n\r\n", false, 10_000, balance.OK},
		"in chunks, stopped":      {inChunks + chunk(5000) + chunk(20_000), false, 0, balance.TimedOut},
		"in chunks, long":         {inChunks + chunk(5000) + strings.Repeat(chunk(20_000), 5) + "0\r\n\r\n", false, 105_000, balance.OK},
		"until close, complete":   {untilClose + strings.Repeat("a", 25_000), true, 25_000, balance.OK},
		"until close, stopped":    {untilClose + strings.Repeat("a", 25_000), false, 0, balance.TimedOut},
		"until close, long":       {untilClose + strings.Repeat("a", 105_000), true, 105_000, balance.OK},
		"short enough, no memory": {inChunks + chunk(4000) + "0\r\n\r\n", false, 0, balance.OK}, // not streamed
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			step := sidecartest.RespondRaw(test.response)
			if test.ends {
				step = sidecartest.RespondRawAndClose(test.response)
			}
			server := sidecartest.NewScriptedServer(t, step)
			attempt := newAttempt(newEndpoint(server.Addr), timeout)
			attempt.Message.Memory = memory.NewBudget(0).NewReservation()
			reader := &downloadReader{}
			attempt.Observer = reader
			expectResult(t, newTestClient(t, testMaxConns), attempt, test.want)
			if reader.received != test.received {
				t.Errorf("got %d bytes streamed, want %d", reader.received, test.received)
			}
		})
	}
}
