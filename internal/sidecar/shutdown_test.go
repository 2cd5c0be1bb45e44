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

// TestShutdownDrainsRequests guards against a shutdown that loses requests: those in flight, and those of clients that
// connect before they know of the shutdown. Pending requests must get their responses, and new connections must be
// accepted for a while and served. All these responses must announce the close.
func TestShutdownDrainsRequests(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t,
		gate.Hold(sidecartest.Respond(200, "held")), sidecartest.Respond(200, "late"))
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
		t.Errorf("new connection during the shutdown: got status %d, body %q, close %v, want 200, \"late\", true",
			resp.StatusCode, body, resp.Close)
	}
	gate.Open()
	if resp := sidecartest.Next(t, pending); resp != nil && (resp.StatusCode != 200 || !resp.Close) {
		t.Errorf("pending request: got status %d, close %v, want 200, true", resp.StatusCode, resp.Close)
	}
}

// TestShutdownServesPersistentConnections guards against a shutdown that closes a persistent connection while its
// client writes a request, so that the client cannot know whether the request was executed. The request must be served,
// whether it was partly written or not begun when the shutdown started. Its response must announce the close.
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
			t.Fatalf("%s: got a close announced before the shutdown, want a persistent connection", name)
		}
		io.Copy(io.Discard, resp.Body)
		sidecar.write(conn, text[:before])
		defer func() {
			sidecar.write(conn, text[before:])
			if resp := sidecar.expectResponse(reader, name+", during the shutdown", http.StatusOK); !resp.Close {
				t.Errorf("%s: got a persistent connection during the shutdown, want a close announced", name)
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

// TestShutdownBeforeFirstAccept guards against a reset that a client sees when SIGTERM arrives during startup: its
// connection waits to be accepted, and would be reset if the listener were closed at once. The client must be served.
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
		t.Errorf("the sidecar ended with error %v, want none", err)
	}
	if resp := sidecar.expectResponse(conn, "request before the first accept", http.StatusOK); !resp.Close {
		t.Error("got a persistent connection, want a close announced")
	}
}

// TestShutdownServesRequestJustRead guards against the loss of a request whose bytes have been read from a persistent
// connection, but whose head is not parsed yet when the shutdown starts. net/http still considers the connection idle
// and would close it. The request must be served.
func TestShutdownServesRequestJustRead(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	read, release := make(chan bool, 1), make(chan bool)
	var blockNextRead atomic.Bool
	sidecar := startSidecarWithHooks(t, cfg, slog.DiscardHandler, readHooks{after: func() {
		if blockNextRead.CompareAndSwap(true, false) {
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
	first, second := sidecar.dial(), sidecar.dial() // the shutdown checks the connections for being idle in this order
	firstReader, secondReader := sendRequest(first), sendRequest(second)
	blockNextRead.Store(true)
	sidecar.write(first, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, read)
	sidecar.shutdown()
	if _, err := secondReader.ReadByte(); err != io.EOF { // by then, the shutdown has checked the first connection
		t.Fatalf("idle connection: got error %v, want io.EOF", err)
	}
	close(release)
	if resp := sidecar.expectResponse(firstReader, "request that was just read", http.StatusOK); !resp.Close {
		t.Error("request that was just read: got a persistent connection, want a close announced")
	}
}

// TestShutdownServesLongResponse guards against a shutdown that truncates a response which takes longer than the
// longest deadline of a request. The client must get the complete response.
func TestShutdownServesLongResponse(t *testing.T) {
	more := make(chan bool)
	half := len(sidecartest.LongBody) / 2
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(sidecartest.LongBody))
	server := sidecartest.NewScriptedServer(t,
		respondInParts(more, head+sidecartest.LongBody[:half], sidecartest.LongBody[half:]))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].Deadline = 100
	}
	sidecar := startSidecar(t, cfg)
	resp, err := sidecar.client.Do(sidecar.newRequest("read"))
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
	defer resp.Body.Close()
	idle := sidecar.dial()
	sidecar.shutdown()
	if _, err := io.ReadAll(idle); err != nil { // the sidecar closes it when the time for requests is over
		t.Fatal(err)
	}
	more <- true
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != sidecartest.LongBody {
		t.Errorf("long response: got %d bytes, error %v, want all %d bytes", len(got), err, len(sidecartest.LongBody))
	}
}
