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

// TestShutdownDrainsRequests checks that during a shutdown new connections are accepted for a while and served, and that
// pending requests get their responses, all with a close.
func TestShutdownDrainsRequests(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	server := sidecartest.NewScriptedServer(t, sidecartest.RespondAfter(started, release), sidecartest.Respond(200, "late"))
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
	sidecartest.Next(t, started)
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
	close(release)
	if resp := sidecartest.Next(t, pending); resp != nil && (resp.StatusCode != 200 || !resp.Close) {
		t.Errorf("pending request: status %d, closing: %v", resp.StatusCode, resp.Close)
	}
}

// TestShutdownServesKeptConnections checks that requests on connections from before the shutdown are served, whether they
// were partly written or not begun when it started, and that the connections are closed with the responses.
func TestShutdownServesKeptConnections(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.AcceptDuringShutdown = 3 * time.Second // idle connections are kept for this time
	sidecar := startSidecar(t, cfg)
	for name, writtenPart := range map[string]float64{"half written": 0.5, "begun": 0.01, "not begun": 0} {
		text := sidecar.rawRequest("read")
		before := int(writtenPart * float64(len(text)))
		conn := sidecar.dial()
		reader := bufio.NewReader(conn)
		sidecar.write(conn, sidecar.rawRequest("read"))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("%s: before the shutdown: response %v, error %v", name, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		sidecar.write(conn, text[:before])
		defer func() {
			sidecar.write(conn, text[before:])
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != 200 || !resp.Close {
				t.Errorf("%s: during the shutdown: response %v, error %v", name, resp, err)
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

// TestShutdownBeforeFirstAccept checks that a connection which waits to be accepted when the shutdown starts is served.
func TestShutdownBeforeFirstAccept(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Discovery = sidecartest.NewDiscoveryServer(t).Addr
	ln := sidecartest.Listen(t)
	sidecar := &testSidecar{t: t, addr: ln.Addr().String()}
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequest("read"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := serve(ctx, cfg, environment{clients: ln}, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Errorf("the sidecar ended with an error: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %v, error %v, want status 200 and a close", resp, err)
	}
}

// TestShutdownServesRequestJustRead checks that a request is served when the shutdown starts between the read of its bytes
// on a kept connection and the parsing of its head.
func TestShutdownServesRequestJustRead(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	read, release := make(chan bool, 1), make(chan bool)
	var armed atomic.Bool
	cfg.AfterRead = func() {
		if armed.CompareAndSwap(true, false) {
			read <- true
			<-release
		}
	}
	sidecar := startSidecar(t, cfg)
	sendRequest := func(conn net.Conn) *bufio.Reader {
		sidecar.write(conn, sidecar.rawRequest("read"))
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("first request: response %v, error %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		return reader
	}
	first, second := sidecar.dial(), sidecar.dial() // the shutdown looks for idle connections in this order
	reader, secondReader := sendRequest(first), sendRequest(second)
	armed.Store(true)
	sidecar.write(first, sidecar.rawRequest("read"))
	sidecartest.Next(t, read)
	sidecar.shutdown()
	if _, err := secondReader.ReadByte(); err != io.EOF { // the shutdown has passed over the first connection by then
		t.Fatalf("idle connection: error %v, want a close", err)
	}
	close(release)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("request that was just read: response %v, error %v", resp, err)
	}
}

// TestShutdownServesLongResponse checks that a shutdown does not cut a long response, even when it takes longer than the
// longest deadline of a request.
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
