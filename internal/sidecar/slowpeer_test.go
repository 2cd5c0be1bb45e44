package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

const (
	// slowPeerTime is how long a peer reads slowly: longer than each time limit that counts from a write.
	slowPeerTime = 7 * time.Second
	// slowPeerPiece is the number of bytes that it reads each second. It then reads the rest at full speed.
	slowPeerPiece = 64 << 10
	// slowPeerMessage is the length of what it reads, more than all socket buffers hold.
	slowPeerMessage = 32 << 20
)

// readSlowly reads slowly for slowPeerTime, then reads the rest, and returns the number of bytes read.
func readSlowly(reader io.Reader) (total int64, err error) {
	for start := time.Now(); time.Since(start) < slowPeerTime && err == nil; time.Sleep(time.Second) {
		var n int64
		n, err = io.CopyN(io.Discard, reader, slowPeerPiece)
		total += n
	}
	n, err := io.Copy(io.Discard, reader)
	return total + n, err
}

// TestSlowClientGetsLongResponse guards against cutting off the response to a client that reads all the time, but slowly:
// the kernel accepts nothing for it for many seconds, although the client's machine does.
func TestSlowClientGetsLongResponse(t *testing.T) {
	t.Parallel()
	sidecar, _ := startWithEndpoint(t, sidecartest.Respond(200, strings.Repeat("x", slowPeerMessage)))
	client := sidecar.dial()
	client.SetDeadline(time.Time{})
	sidecar.write(client, sidecar.rawRequestHead("read"))
	response := sidecar.expectResponse(client, "request for a long response", http.StatusOK)
	if total, err := readSlowly(response.Body); err != nil || total != slowPeerMessage {
		t.Errorf("got %d bytes of the response, error %v; want %d bytes", total, err, slowPeerMessage)
	}
}

// TestSlowEndpointGetsLongBody guards against the same fault in the other direction: an endpoint that reads a long body
// slowly must get it completely.
func TestSlowEndpointGetsLongBody(t *testing.T) {
	t.Parallel()
	listener := sidecartest.Listen(t)
	received := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		total, _ := readSlowly(request.Body)
		received <- total
		sidecartest.Respond(200, "taken")(conn)
	}()
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", listener.Addr().String())))
	request := sidecar.newRequest("pay")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", slowPeerMessage)))
	request.ContentLength = slowPeerMessage
	if response, text := sidecar.do(request); response.StatusCode != http.StatusOK || text != "taken" {
		t.Errorf("got status %d, body %q, want 200, \"taken\"", response.StatusCode, text)
	}
	select {
	case total := <-received:
		if total != slowPeerMessage {
			t.Errorf("the endpoint received %d bytes, want %d", total, slowPeerMessage)
		}
	default:
		t.Error("the endpoint did not receive a complete body")
	}
}

// TestErrorResponseAfterStreamedResponse checks that the write deadline of a streamed response does not remain: the response
// to an invalid request, which sets none, would not reach the client.
func TestErrorResponseAfterStreamedResponse(t *testing.T) {
	t.Parallel()
	const untilNextRequest = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"unknown path": {"GET /unknown HTTP/1.1\r\nHost: app.svc\r\n\r\n", http.StatusNotFound},
		"malformed":    {"GET /api HTTP/1.1\r\nHost\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			sidecar, _ := startWithEndpoint(t, sidecartest.Respond(200, sidecartest.LongBody))
			client := sidecar.dial()
			reader := bufio.NewReader(client)
			sidecar.write(client, sidecar.rawRequestHead("read"))
			response := sidecar.expectResponse(reader, "request for a long response", http.StatusOK)
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Fatal(err)
			}
			time.Sleep(untilNextRequest)
			sidecar.write(client, test.request)
			sidecar.expectResponse(reader, name, test.status)
		})
	}
}
