package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// TestForwardsRequests checks that requests of each class reach the endpoint with their path, headers, body and
// remaining time, that they share a connection, and that the client does not get the endpoint's load report.
func TestForwardsRequests(t *testing.T) {
	sidecar, server := startWithEndpoint(t,
		sidecartest.Respond(200, "plate 7", "Endpoint-Load-Metrics: TEXT util=0.5, qps=3"))
	var ids []string
	for _, class := range []string{"read", "reserve", "pay"} {
		request := sidecar.newRequest(class)
		ids = append(ids, request.Header.Get("X-Trace-Id"))
		resp, body := sidecar.do(request)
		if resp.StatusCode != 200 || body != "plate 7" {
			t.Fatalf("%s: got status %d, body %q, want 200, \"plate 7\"", class, resp.StatusCode, body)
		}
		if resp.Header.Get(upstream.LoadReportHeader) != "" {
			t.Errorf("%s: got load report %q at the client, want none", class, resp.Header.Get(upstream.LoadReportHeader))
		}
	}
	requests, conns := server.Requests(), server.ConnCount()
	if len(requests) != 3 || conns != 1 {
		t.Fatalf("got %d requests on %d connections, want 3 on 1", len(requests), conns)
	}
	for i, request := range requests {
		if request.RequestURI != "/api?item=a%2Fb" || request.Header.Get("X-Trace-Id") != ids[i] {
			t.Errorf("got forwarded URI %s, trace ID %q, want /api?item=a%%2Fb, %q",
				request.RequestURI, request.Header.Get("X-Trace-Id"), ids[i])
		}
		left, err := exchange.ParseExpiry(request.Header.Get(exchange.ExpiryHeader), 1e6)
		if err != nil || left <= 0 || left > 15000 {
			t.Errorf("got forwarded %s %q, error %v, want more than 0 and at most 15000 ms",
				exchange.ExpiryHeader, request.Header.Get(exchange.ExpiryHeader), err)
		}
		if want := map[bool]string{true: "", false: "order 7"}[request.Method == "GET"]; request.BodyText != want {
			t.Errorf("got forwarded body %q, want %q", request.BodyText, want)
		}
	}
	if key := requests[1].Header.Get("Idempotency-Key"); key != "5c0f6e1a" {
		t.Errorf("got forwarded Idempotency-Key %q, want 5c0f6e1a", key)
	}
}

// TestRetryOfNonIdempotentRequest checks that a non-idempotent request is retried after an attempt that was never
// executed, and fails after an attempt that may have been executed.
func TestRetryOfNonIdempotentRequest(t *testing.T) {
	for name, test := range map[string]struct {
		first  sidecartest.Step
		status int
	}{
		"rejected":                        {sidecartest.Respond(503, "", neverExecutedHeader), 200},
		"expired already":                 {sidecartest.Respond(504, "", neverExecutedHeader), 200},
		"503 that may have been executed": {sidecartest.Respond(503, ""), 502},
		"error":                           {sidecartest.Respond(500, ""), 502},
		"reset":                           {sidecartest.RespondRawAndClose(""), 502},
		"short body":                      {sidecartest.RespondRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nplate"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			failing := sidecartest.NewScriptedServer(t, test.first)
			serving := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "done"))
			sidecar := startSidecar(t, sidecartest.Config(t,
				sidecartest.ReadyEndpoint("s-1", failing.Addr), sidecartest.ReadyEndpoint("s-2", serving.Addr)))
			resp, _ := sidecar.do(sidecar.newRequest("pay"))
			for len(failing.Requests()) == 0 { // the other endpoint was chosen first
				resp, _ = sidecar.do(sidecar.newRequest("pay"))
			}
			if resp.StatusCode != test.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, test.status)
			}
		})
	}
}

// TestRejectsBadRequests checks that each kind of invalid request gets its status and a close, and does not reach an
// endpoint.
func TestRejectsBadRequests(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	setHeader := func(name, value string) func(*http.Request) {
		return func(request *http.Request) { request.Header.Set(name, value) }
	}
	for name, test := range map[string]struct {
		class  string
		change func(*http.Request)
		status int
	}{
		"unknown class":  {"read", setHeader("X-Qos", "x"), 400},
		"unknown tenant": {"read", setHeader("X-Customer", "x"), 400},
		"no tenant":      {"read", func(request *http.Request) { request.Header.Del("X-Customer") }, 400},
		"no id":          {"read", func(request *http.Request) { request.Header.Del("X-Trace-Id") }, 400},
		"no key":         {"reserve", func(request *http.Request) { request.Header.Del("Idempotency-Key") }, 400},
		"expiry text":    {"read", setHeader("X-Expires-In", "soon"), 400},
		"expiry unit":    {"read", setHeader("X-Expires-In", "12"), 400},
		"expiry below 0": {"read", setHeader("X-Expires-In", "-5m"), 400},
		"expiry NaN":     {"read", setHeader("X-Expires-In", "NaNm"), 400},
		"expiry no end":  {"read", setHeader("X-Expires-In", "infm"), 400},
		"expiry alone":   {"read", setHeader("X-Expires-In", "m"), 400},
		"id with spaces": {"read", setHeader("X-Trace-Id", "a b"), 400},
		"two ids":        {"read", func(request *http.Request) { request.Header.Add("X-Trace-Id", "1") }, 400},
		"two classes":    {"read", func(request *http.Request) { request.Header.Add("X-Qos", "pay") }, 400},
		"method":         {"pay", func(request *http.Request) { request.Method = "PUT" }, 405},
		"path":           {"read", func(request *http.Request) { request.URL.Path = "/other" }, 404},
	} {
		request := sidecar.newRequest(test.class)
		test.change(request)
		if resp, _ := sidecar.do(request); resp.StatusCode != test.status || !resp.Close {
			t.Errorf("%s: got status %d, close %v, want status %d and a close", name, resp.StatusCode, resp.Close, test.status)
		}
	}
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequestHead("pay", "Content-Length: 60000000"))
	sidecar.expectResponse(conn, "body above the limit", http.StatusRequestEntityTooLarge)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("got %d invalid requests at the endpoint, want 0", got)
	}
}

// TestRequestSmuggling checks that requests with two lengths, and requests followed by more data than announced, are
// rejected, and that no request hidden in them reaches an endpoint.
func TestRequestSmuggling(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	for name, text := range map[string]string{
		"two lengths": sidecar.rawRequestHead("pay", "Content-Length: 5", "Transfer-Encoding: chunked") +
			"0\r\n\r\n" + sidecar.rawRequestHead("read"),
		"two lengths, swapped": sidecar.rawRequestHead("pay", "Transfer-Encoding: chunked", "Content-Length: 5") +
			"0\r\n\r\n" + sidecar.rawRequestHead("read"),
		"behind the body":    sidecar.rawRequestHead("pay", "Content-Length: 2") + "ab" + sidecar.rawRequestHead("read"),
		"too short a length": sidecar.rawRequestHead("pay", "Content-Length: 2") + "abcdef",
		"body of a read":     sidecar.rawRequestHead("read", "Content-Length: 2") + "ab",
		"behind a bad one":   sidecar.rawRequestHead("none") + sidecar.rawRequestHead("read"),
	} {
		conn := sidecar.dial()
		sidecar.write(conn, text)
		got, err := io.ReadAll(conn)
		if !strings.HasPrefix(string(got), "HTTP/1.1 400") || strings.Contains(string(got), " 200 ") {
			t.Errorf("%s: got response %q, error %v, want only status 400", name, got, err)
		}
	}
	if got := server.Requests(); len(got) != 0 {
		t.Errorf("got %d requests at the endpoint, want 0", len(got))
	}
}

// TestDuplicateTraceID checks that a request with the trace ID of a pending request is rejected, and that the pending
// request gets its own response. Afterwards, the trace ID can be used again only by a request that is safe to repeat.
func TestDuplicateTraceID(t *testing.T) {
	gate := sidecartest.NewGate()
	sidecar, server := startWithEndpoint(t, gate.Hold(sidecartest.Respond(200, "held")), sidecartest.Respond(200, "again"))
	text := sidecar.rawRequestHead("pay", "Content-Length: 2") + "ab"
	first, second := sidecar.dial(), sidecar.dial()
	sidecar.write(first, text)
	gate.AwaitRequest(t)
	sidecar.write(second, strings.Replace(text, "ab", "xy", 1))
	if got, _ := io.ReadAll(second); !strings.HasPrefix(string(got), "HTTP/1.1 409") {
		t.Errorf("second request: got response %q, want status 409", got)
	}
	gate.Open()
	resp := sidecar.expectResponse(first, "first request", http.StatusOK)
	if body, _ := io.ReadAll(resp.Body); string(body) != "held" {
		t.Errorf("first request: got body %q, want \"held\"", body)
	}
	sidecar.write(first, text) // the first request has ended, but it was executed
	sidecar.expectResponse(first, "request after the first", http.StatusConflict)
	if got := len(server.Requests()); got != 1 {
		t.Errorf("got %d requests at the endpoint, want 1", got)
	}
	lookup, reader := sidecar.rawRequestHead("read"), sidecar.dial()
	for range 2 {
		sidecar.write(reader, lookup)
		io.Copy(io.Discard, sidecar.expectResponse(reader, "request that is safe to repeat", http.StatusOK).Body)
	}
}

// TestRejectionHasRetryAfter checks that the rejection of a request that was never executed has a Retry-After of at
// most 2 s.
func TestRejectionHasRetryAfter(t *testing.T) {
	sidecar, _ := startWithEndpoint(t, sidecartest.Respond(503, "", "X-Never-Ran: 1"))
	request := sidecar.newRequest("pay")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	resp, _ := sidecar.do(request)
	if resp.StatusCode != 503 {
		t.Fatalf("got status %d, want 503", resp.StatusCode)
	}
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 2 {
		t.Errorf("got Retry-After %q, error %v, want more than 0 and at most 2", resp.Header.Get("Retry-After"), err)
	}
}
