package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/sidecartest"
)

// goldenCases are all scenarios, in the order of the golden file.
var goldenCases = []goldenCase{
	{"to a server: GET", recordExchange(goldenRequestHead("read", "a01"), sidecartest.Respond(200, "plate 7"))},
	{"to a server: GET with the client's own User-Agent and X-Object",
		recordExchange(goldenRequestHead("read", "a02",
			"User-Agent: app/7", "X-Object: 7f3a9c21e0b4d655", "X-Second-Try: 1", "X-Props: a=1,b=2",
		), sidecartest.Respond(200, "plate 7"))},
	{"to a server: GET with a query with escapes",
		recordExchange(strings.Replace(goldenRequestHead("read", "a03"),
			"/api ", "/api/a%2Fb/../c?item=a%2Fb&x=%20+%7e&y=;|&&=z#f ", 1,
		), sidecartest.Respond(200, "plate 7"))},
	{"to a server: POST with an empty body",
		recordExchange(goldenRequestHead("pay", "a04", "Content-Length: 0"), sidecartest.Respond(200, ""))},
	{"to a server: keyed POST with odd headers", recordExchange(goldenRequestHead("reserve", "a05",
		"Content-Length: 7", "Connection: keep-alive, X-Hop", "X-Hop: dropped", "Keep-Alive: timeout=5", "TE: trailers",
		"Proxy-Connection: keep-alive", "Proxy-Authorization: Basic eDp5", "Upgrade: h2c", "Expect: 100-continue",
		"x-oDd-cAse: Mixed", "X-Twice: 1", "X-Twice: 2", "Accept-Encoding: gzip", "Cookie: a=b", "x_under: 1",
	)+"order 7", sidecartest.Respond(200, "done"))},
	{"to a server: body in chunks",
		recordExchange(goldenRequestHead("reserve", "a06", "Transfer-Encoding: chunked")+chunkedBody("order", " 7"),
			sidecartest.Respond(200, "done"))},
	{"to a server: long body with a length",
		recordLongExchange(
			goldenRequestHead("reserve", "a07", "Content-Length: "+strconv.Itoa(len(goldenLongBody))) + goldenLongBody)},
	{"to a server: long body in chunks",
		recordLongExchange(goldenRequestHead("reserve", "a08", "Transfer-Encoding: chunked") +
			chunkedBody(goldenLongBody[:50000], goldenLongBody[50000:]))},
	{"to a server: probe where reports are pulled", recordPolledLoadReport},
	{"to a server: probe of silent servers where there are no reports", recordHealthCheck},
	{"to servers: a retry after 503 with X-Never-Ran", recordRetry},

	{"to discovery: asked", recordDiscoveryCalls(polledDiscovery)},
	{"to discovery: pushed by an agent", recordDiscoveryCalls(watchedDiscovery)},

	{"to a client: served with a length and headers",
		recordExchange(goldenRequestHead("read", "b01"), respondRaw(okStatusLine+
			"Content-Length: 5\r\nContent-Type: application/json\r\nx-oDd: 1\r\nX-Twice: 1\r\nX-Twice: 2\r\n"+
			"Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nKeep-Alive: timeout=5\r\n"+
			"Endpoint-Load-Metrics: TEXT util=0.5, qps=3\r\n\r\n[1,2]"))},
	{"to a client: served without a length",
		recordExchange(goldenRequestHead("read", "b02"),
			respondRawAndClose(okStatusLine+"Connection: close\r\n\r\nplate 7"))},
	{"to a client: served in chunks", recordExchange(goldenRequestHead("read", "b03"),
		respondRaw(okStatusLine+"Transfer-Encoding: chunked\r\n\r\n"+chunkedBody("plate", " 7")))},
	{"to a client: served in chunks that come slowly", recordSlowChunks},
	{"to a client: served after an interim answer", recordExchange(goldenRequestHead("read", "b04"),
		respondRaw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+okStatusLine+"Content-Length: 2\r\n\r\nok"))},
	{"to a client: long answer with a length",
		recordLongResponse("Content-Length: " + strconv.Itoa(len(goldenLongBody)) + "\r\n\r\n" + goldenLongBody)},
	{"to a client: long answer in chunks",
		recordLongResponse("Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(goldenLongBody))},
	{"to a client: two requests on one connection", recordConnectionReuse},
	{"to a client: HTTP/1.0",
		recordExchange(strings.Replace(goldenRequestHead("read", "b05"), "HTTP/1.1", "HTTP/1.0", 1),
			sidecartest.Respond(200, "plate 7"))},
	{"to a client: refused", recordRejection},
	{"to a client: refused without time left",
		recordResponseWithoutEndpoints(
			strings.Replace(goldenRequestHead("pay", "b06", "Content-Length: 0"), "15000m", "0m", 1))},
	{"to a client: failed",
		recordExchange(goldenRequestHead("pay", "b07", "Content-Length: 0"), sidecartest.Respond(500, "secret"))},
	{"to a client: bad request without X-Trace-Id",
		recordRejectedRequest(strings.Replace(goldenRequestHead("read", "x"), "X-Trace-Id: x\r\n", "", 1))},
	{"to a client: bad request of an unknown class",
		recordRejectedRequest(strings.Replace(goldenRequestHead("read", "b08"), "X-Qos: read", "X-Qos: other", 1))},
	{"to a client: bad request of an unknown tenant",
		recordRejectedRequest(strings.Replace(goldenRequestHead("read", "b09"), "acme", "other", 1))},
	{"to a client: bad request without Idempotency-Key",
		recordRejectedRequest(strings.Replace(goldenRequestHead("reserve", "b10", "Content-Length: 0"),
			"Idempotency-Key: 5c0f6e1a\r\n", "", 1))},
	{"to a client: bad request with X-Expires-In without unit",
		recordRejectedRequest(strings.Replace(goldenRequestHead("read", "b11"), "15000m", "12", 1))},
	{"to a client: bad request with a header twice",
		recordRejectedRequest(goldenRequestHead("read", "b12", "X-Qos: pay"))},
	{"to a client: bad request with two lengths",
		recordRejectedRequest(goldenRequestHead("pay", "b13", "Content-Length: 5", "Transfer-Encoding: chunked"))},
	{"to a client: bad request with a body in a GET",
		recordRejectedRequest(goldenRequestHead("read", "b14", "Content-Length: 2") + "ab")},
	{"to a client: wrong method",
		recordRejectedRequest(strings.Replace(goldenRequestHead("pay", "b15", "Content-Length: 0"), "POST", "PUT", 1))},
	{"to a client: wrong path",
		recordRejectedRequest(strings.Replace(goldenRequestHead("read", "b16"), "/api", "/other", 1))},
	{"to a client: too long a body",
		recordRejectedRequest(goldenRequestHead("pay", "b17", "Content-Length: 60000000"))},
	{"to a client: an X-Trace-Id that is open", recordPendingTraceID},
	{"to a client: /up", recordAppHealthCheck},
	{"to a client: /up by POST",
		recordRejectedRequest("POST /up HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n")},
	{"to a client: /up without servers", recordAppHealthCheckWithoutEndpoints},

	{"second address: /api/ready before and after the list", recordReadiness},
	{"second address: /api/telemetry", recordMetrics},
	{"second address: wrong calls", recordBadAdminCalls},
}

// recordPolledLoadReport records the poll of a load report before a request. Endpoints report their load only on
// request in this case.
func recordPolledLoadReport(t *testing.T, transcript *goldenTranscript) {
	server := newRecordingServers(sidecartest.Respond(200, "TEXT busy=0.1, rate=3"), sidecartest.Respond(200, "plate 7"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.startServer(t)))
	cfg.Balance.LoadReports = balance.LoadReportsPolled
	sidecar := startSidecar(t, cfg)
	response := roundTrip(t, sidecar.dial(), goldenRequestHead("read", "a09"))
	transcript.addMessage("the server reads the probe", sidecartest.Next(t, server.requests).text)
	transcript.addMessage("the server reads the request", sidecartest.Next(t, server.requests).text)
	transcript.addMessage("the client reads", response)
}

// recordHealthCheck records the first health check, which an endpoint gets after both endpoints left requests without a
// response. How many requests they receive before it depends on timing.
func recordHealthCheck(t *testing.T, transcript *goldenTranscript) {
	servers := newRecordingServers()
	cfg := sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", servers.startServer(t)), sidecartest.ReadyEndpoint("s-2", servers.startServer(t)))
	cfg.Balance.LoadReports = balance.LoadReportsNone
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].Deadline = 600 // milliseconds; an attempt counts as lost after a third of it
	}
	sidecar := startSidecar(t, cfg)
	for _, traceID := range []string{"a11", "a12", "a13", "a14"} { // enough requests that both servers are chosen
		sidecar.write(sidecar.dial(), goldenRequestHead("read", traceID))
	}
	for {
		text := sidecartest.Next(t, servers.requests).text
		if !strings.Contains(text, "\r\nX-Trace-Id: ") {
			transcript.addMessage("a server reads", text)
			return
		}
	}
}

// recordRetry records both attempts of a request that one endpoint rejects and the other one serves.
func recordRetry(t *testing.T, transcript *goldenTranscript) {
	servers := newRecordingServers(sidecartest.Respond(503, "", neverExecutedHeader), sidecartest.Respond(200, "done"))
	sidecar := startSidecar(t, sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", servers.startServer(t)), sidecartest.ReadyEndpoint("s-2", servers.startServer(t))))
	response := roundTrip(t, sidecar.dial(), goldenRequestHead("pay", "a10", "Content-Length: 7")+"order 7")
	first, second := sidecartest.Next(t, servers.requests), sidecartest.Next(t, servers.requests)
	transcript.addMessage("the first server reads", first.text)
	transcript.addMessage("the second server reads", second.text)
	transcript.addMessage("the client reads", response)
	if first.serverAddr == second.serverAddr {
		t.Error("got both attempts at one endpoint, want one attempt at each")
	}
}

// discoveryMode is how a sidecar learns of changes of the endpoint list.
type discoveryMode int

const (
	polledDiscovery  discoveryMode = iota // the sidecar requests the list
	watchedDiscovery                      // an agent on the same machine pushes changes
)

// recordDiscoveryCalls returns a scenario that records the request for the complete list, the watch, and the watch
// after an update.
func recordDiscoveryCalls(mode discoveryMode) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		respond := func(revision int, complete bool) sidecartest.Step {
			return sidecartest.Respond(200, fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[]}`, revision, complete))
		}
		discovery := newRecordingServers(respond(42, true), respond(43, false))
		cfg := sidecartest.Config(t)
		cfg.Discovery = discovery.startServer(t)
		cfg.Balance.PolledDiscovery = mode == polledDiscovery
		cfg.KnownEndpoints.Complete = false
		cfg.Balance.DrainGrace = 1000 // milliseconds; limits how long an agent may take to begin a response
		startSidecarWithConfiguredDiscovery(t, cfg)
		for _, title := range []string{"the call for the whole list", "the watch", "the watch after revision 43"} {
			transcript.addMessage(title, sidecartest.Next(t, discovery.requests).text)
		}
	}
}

// startSidecarWithConfiguredDiscovery starts a sidecar that uses the discovery address of cfg. It is shut down at the
// end of the test.
func startSidecarWithConfiguredDiscovery(t *testing.T, cfg *config.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	ln := sidecartest.Listen(t)
	go func() {
		done <- serve(ctx, cfg, startupResources{clientListener: ln}, nil, slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() {
		cancel()
		if err := sidecartest.Next(t, done); err != nil {
			t.Errorf("the sidecar ended with error %v, want none", err)
		}
	})
}

// recordSlowChunks records a response whose second chunk is sent only after the client has received the first one.
func recordSlowChunks(t *testing.T, transcript *goldenTranscript) {
	more := make(chan bool, 1)
	sidecar, _ := startGoldenSidecar(t, respondInParts(more,
		okStatusLine+"Transfer-Encoding: chunked\r\n\r\n5\r\nplate\r\n", "2\r\n 7\r\n0\r\n\r\n"))
	conn := sidecar.dial()
	sidecar.write(conn, goldenRequestHead("read", "b18"))
	first, err := readUntil(conn, func(got string) bool { return strings.HasSuffix(got, "plate\r\n") })
	if err != nil {
		t.Fatal(err)
	}
	more <- true
	rest, err := readUntil(conn, func(got string) bool { return strings.HasSuffix(got, "0\r\n\r\n") })
	if err != nil {
		t.Fatal(err)
	}
	transcript.addMessage("the client reads", first+rest)
}

// recordLongResponse returns a scenario that records a long response as the client receives it.
func recordLongResponse(response string) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		sidecar, _ := startGoldenSidecar(t, respondRaw(okStatusLine+response))
		received := roundTrip(t, sidecar.dial(), goldenRequestHead("read", "b19"))
		transcript.addMessageWithLongBody(t, "the client reads", received)
	}
}

// recordConnectionReuse records two requests on one client connection and their responses.
func recordConnectionReuse(t *testing.T, transcript *goldenTranscript) {
	sidecar, server := startGoldenSidecar(t, sidecartest.Respond(200, "one"), sidecartest.Respond(200, "two"))
	conn := sidecar.dial()
	for _, traceID := range []string{"b20", "b21"} {
		transcript.addMessage("the client reads", roundTrip(t, conn, goldenRequestHead("read", traceID)))
		transcript.addMessage("the server reads", sidecartest.Next(t, server.requests).text)
	}
}

// recordRejection records the response to a request whose only allowed attempt the endpoint rejects.
func recordRejection(t *testing.T, transcript *goldenTranscript) {
	server := newRecordingServers(sidecartest.Respond(503, "", neverExecutedHeader))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.startServer(t)))
	cfg.Balance.MaxAttempts = 1
	sidecar := startSidecar(t, cfg)
	response := roundTrip(t, sidecar.dial(), goldenRequestHead("pay", "b22", "Content-Length: 0"))
	transcript.addMessage("the server reads", sidecartest.Next(t, server.requests).text)
	transcript.addMessage("the client reads", response)
}

// recordPendingTraceID records the responses to a pending request and to a second request with the same trace ID.
func recordPendingTraceID(t *testing.T, transcript *goldenTranscript) {
	gate := sidecartest.NewGate()
	sidecar, _ := startGoldenSidecar(t, gate.Hold(sidecartest.Respond(200, "held")))
	first := sidecar.dial()
	sidecar.write(first, goldenRequestHead("read", "b23"))
	gate.AwaitRequest(t)
	transcript.addMessage("the second client reads", roundTrip(t, sidecar.dial(), goldenRequestHead("read", "b23")))
	gate.Open()
	transcript.addMessage("the first client reads", readResponse(t, first))
}

// appHealthCheck is the application's health check of the sidecar.
const appHealthCheck = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"

// recordAppHealthCheck records the first response to a health check that is not a 503. The sidecar may respond with 503
// until it has applied the endpoint list.
func recordAppHealthCheck(t *testing.T, transcript *goldenTranscript) {
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9")))
	var response string
	sidecartest.WaitFor(t, "the health check succeeds", func() bool {
		response = roundTrip(t, sidecar.dial(), appHealthCheck)
		return !strings.HasPrefix(response, "HTTP/1.1 503 ")
	})
	transcript.addMessage("the client reads", response)
}

// recordAppHealthCheckWithoutEndpoints records the response to a health check if no endpoint is known.
func recordAppHealthCheckWithoutEndpoints(t *testing.T, transcript *goldenTranscript) {
	sidecar := startSidecar(t, sidecartest.Config(t))
	transcript.addMessage("the client reads", roundTrip(t, sidecar.dial(), appHealthCheck))
}

// recordAdminCall records the response to a call, which is a method and a path, at the admin address.
func recordAdminCall(t *testing.T, transcript *goldenTranscript, sidecar *testSidecar, call string) {
	t.Helper()
	request := call + " HTTP/1.1\r\nHost: second\r\nContent-Length: 0\r\n\r\n"
	transcript.addMessage(call, roundTrip(t, sidecar.dialAddr(sidecar.adminAddr), request))
}

// recordReadiness records the readiness response before and after the first endpoint list.
func recordReadiness(t *testing.T, transcript *goldenTranscript) {
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t)))
	recordAdminCall(t, transcript, sidecar, "GET /api/ready")
	sidecartest.Next(t, sidecar.discovery.Queries)
	sidecar.discovery.Lists <- sidecartest.CompleteList(42, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9"))
	sidecar.waitUntilReady()
	recordAdminCall(t, transcript, sidecar, "GET /api/ready")
}

// recordMetrics records the metrics after three completed requests, two failed ones, a rejected one and an invalid one.
func recordMetrics(t *testing.T, transcript *goldenTranscript) {
	server := newRecordingServers(
		sidecartest.Respond(200, "one"), sidecartest.Respond(500, ""), sidecartest.Respond(200, "two"),
		sidecartest.Respond(500, ""), sidecartest.Respond(200, "three"), sidecartest.Respond(503, "", neverExecutedHeader),
	)
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.startServer(t)))
	sidecar := startSidecar(t, withAdmin(cfg))
	sidecartest.WaitFor(t, "the endpoint list is applied", func() bool { return sidecar.metric("members") == "1" })
	for _, request := range []string{
		goldenRequestHead("read", "c1"), goldenRequestHead("pay", "c4", "Content-Length: 0"), goldenRequestHead("read", "c2"),
		goldenRequestHead("pay", "c5", "Content-Length: 0"), goldenRequestHead("reserve", "c3", "Content-Length: 0"),
		strings.Replace(goldenRequestHead("pay", "c6", "Content-Length: 0"), "15000m", "300m", 1),
		strings.Replace(goldenRequestHead("read", "c7"), "acme", "other", 1),
	} {
		statusLine, _, _ := strings.Cut(roundTrip(t, sidecar.dial(), request), "\r\n")
		transcript.addLine("(a request is answered " + statusLine + ")")
	}
	recordAdminCall(t, transcript, sidecar, "GET /api/telemetry")
}

// recordBadAdminCalls records the responses to unknown paths and methods at the admin address.
func recordBadAdminCalls(t *testing.T, transcript *goldenTranscript) {
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9"))))
	for _, call := range []string{
		"GET /up", "GET /api", "GET /api/ready/", "POST /api/ready", "PUT /api/telemetry", "HEAD /api/telemetry",
	} {
		recordAdminCall(t, transcript, sidecar, call)
	}
}
