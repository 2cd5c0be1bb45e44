package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestShutdownDrainsRequests tests the failure in which a shutdown loses requests: those in flight, and those of clients that
// connect before they know of it. New connections must be accepted for a while and served, and pending requests get their
// responses, all with a close.
func TestShutdownDrainsRequests(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t, gate.Hold(sidecartest.Respond(200, "held")), sidecartest.Respond(200, "late"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.AcceptDuringShutdown = 3 * time.Second
	sidecar := startSidecar(t, cfg)
	pending := make(chan *http.Response, 1)
	go func() {
		resp, err := sidecar.client.Do(sidecar.newRequest("pay"))
		if err != nil {
			t.Error(err)
		}
		pending <- resp
	}()
	gate.AwaitRequest(t)
	sidecar.shutdown()
	upRequest, err := http.NewRequest("GET", "http://"+sidecar.addr+"/up", nil)
	if err != nil {
		t.Fatal(err)
	}
	sidecartest.WaitFor(t, "the shutdown starts", func() bool {
		resp, _ := sidecar.do(upRequest)
		return resp.StatusCode == 503
	})
	resp, body := sidecar.do(sidecar.newRequest("pay"))
	if resp.StatusCode != 200 || body != "late" || !resp.Close {
		t.Errorf("new connection during the shutdown: status %d, body %q, closing: %v", resp.StatusCode, body, resp.Close)
	}
	gate.Open()
	if resp := sidecartest.Next(t, pending); resp != nil && (resp.StatusCode != 200 || !resp.Close) {
		t.Errorf("pending request: status %d, closing: %v", resp.StatusCode, resp.Close)
	}
}

// TestShutdownServesPersistentConnections tests the failure in which a shutdown closes a persistent connection on which a client
// just writes a request. The client could not know whether it was executed. A request must be served, whether it was partly written
// or not begun when the shutdown started, and the connection closed with its response.
func TestShutdownServesPersistentConnections(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.AcceptDuringShutdown = 3 * time.Second // idle connections stay open for this time
	sidecar := startSidecar(t, cfg)
	for name, writtenPart := range map[string]float64{"half written": 0.5, "begun": 0.01, "not begun": 0} {
		text := sidecar.rawRequestHead("read")
		before := int(writtenPart * float64(len(text)))
		conn := sidecar.dial()
		reader := bufio.NewReader(conn)
		sidecar.write(conn, sidecar.rawRequestHead("read"))
		resp := sidecar.expectResponse(reader, name+", before the shutdown", http.StatusOK)
		if resp.Close {
			t.Fatalf("%s: the response before the shutdown announces a close", name)
		}
		io.Copy(io.Discard, resp.Body)
		sidecar.write(conn, text[:before])
		defer func() {
			sidecar.write(conn, text[before:])
			if resp := sidecar.expectResponse(reader, name+", during the shutdown", http.StatusOK); !resp.Close {
				t.Errorf("%s: the response during the shutdown does not announce a close", name)
			}
		}()
	}
	sidecar.shutdown()
	sidecartest.WaitFor(t, "the shutdown starts", func() bool {
		resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
}

// TestShutdownBeforeFirstAccept tests the failure in which SIGTERM comes during the start, while a connection waits to be
// accepted. If the listener were closed at once, the client would see a reset. It must be served.
func TestShutdownBeforeFirstAccept(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Discovery = sidecartest.NewDiscoveryServer(t).Addr
	ln := sidecartest.Listen(t)
	sidecar := &testSidecar{t: t, addr: ln.Addr().String()}
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := serve(ctx, cfg, startupResources{clientListener: ln}, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Errorf("the sidecar ended with an error: %v", err)
	}
	if resp := sidecar.expectResponse(conn, "request before the first accept", http.StatusOK); !resp.Close {
		t.Error("the response does not announce a close")
	}
}

// TestShutdownServesRequestJustRead tests the failure in which the shutdown starts between the read of a request's bytes on a
// persistent connection and the parsing of its head. To net/http the connection is still idle, so that it would be closed with
// the request. The request must be served.
func TestShutdownServesRequestJustRead(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	read, release := make(chan bool, 1), make(chan bool)
	var armed atomic.Bool
	sidecar := startSidecarWithHooks(t, cfg, slog.DiscardHandler, readHooks{after: func() {
		if armed.CompareAndSwap(true, false) {
			read <- true
			<-release
		}
	}})
	sendRequest := func(conn net.Conn) *bufio.Reader {
		sidecar.write(conn, sidecar.rawRequestHead("read"))
		reader := bufio.NewReader(conn)
		io.Copy(io.Discard, sidecar.expectResponse(reader, "first request", http.StatusOK).Body)
		return reader
	}
	first, second := sidecar.dial(), sidecar.dial() // the shutdown looks for idle connections in this order
	reader, secondReader := sendRequest(first), sendRequest(second)
	armed.Store(true)
	sidecar.write(first, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, read)
	sidecar.shutdown()
	if _, err := secondReader.ReadByte(); err != io.EOF { // the shutdown has passed over the first connection by then
		t.Fatalf("idle connection: error %v, want a close", err)
	}
	close(release)
	if resp := sidecar.expectResponse(reader, "request that was just read", http.StatusOK); !resp.Close {
		t.Error("request that was just read: the response does not announce a close")
	}
}

// TestShutdownServesLongResponse tests the failure in which a shutdown meets a response that takes longer than the longest
// deadline of a request. The client would get a truncated response. It must get all of it.
func TestShutdownServesLongResponse(t *testing.T) {
	more := make(chan bool)
	half := len(sidecartest.LongBody) / 2
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(sidecartest.LongBody))
	server := sidecartest.NewScriptedServer(t, respondInParts(more, head+sidecartest.LongBody[:half], sidecartest.LongBody[half:]))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].Deadline = 100
	}
	sidecar := startSidecar(t, cfg)
	resp, err := sidecar.client.Do(sidecar.newRequest("read"))
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v", resp, err)
	}
	defer resp.Body.Close()
	idle := sidecar.dial()
	sidecar.shutdown()
	if _, err := io.ReadAll(idle); err != nil { // closed after the time for requests is over
		t.Fatal(err)
	}
	more <- true
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != sidecartest.LongBody {
		t.Errorf("long response: %d bytes, error %v", len(got), err)
	}
}
