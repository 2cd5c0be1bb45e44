package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
)

// TestStoppedShortResponseFailsInTime guards against a client that gets neither the end of a short response without a length nor
// that of its connection: the endpoint stops in the middle of the response. As nothing has been forwarded, the client must get a
// complete response that says so.
func TestStoppedShortResponseFailsInTime(t *testing.T) {
	const timeLimit, latest = 400 * time.Millisecond, 900 * time.Millisecond
	for name, test := range map[string]struct{ parts []string }{
		"in chunks":                    {[]string{"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"}},
		"to the end of the connection": {[]string{"Connection: close\r\n\r\nabcde"}},
		"in chunks, later":             {[]string{"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", "4\r\nfghi\r\n"}},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", client with "+version, func(t *testing.T) {
				t.Parallel()
				more := make(chan bool, 1)
				time.AfterFunc(timeLimit*9/10, func() { more <- true })
				sidecar, _ := startWithEndpoint(t, func(conn net.Conn) bool {
					respondInParts(more, append([]string{"HTTP/1.1 200 OK\r\n" + test.parts[0]}, test.parts[1:]...)...)(conn)
					return true
				})
				client := sidecar.dial()
				head := strings.Replace(sidecar.rawRequestHead("read"), "15000m", fmt.Sprintf("%dm", timeLimit.Milliseconds()), 1)
				start := time.Now()
				sidecar.write(client, strings.Replace(head, "HTTP/1.1", version, 1))
				client.SetDeadline(start.Add(latest))
				response := sidecar.expectResponse(client, "response that stops", http.StatusServiceUnavailable)
				body, err := io.ReadAll(response.Body)
				if err != nil || strings.Contains(string(body), "abcde") {
					t.Errorf("got body %q, error %v after %v; want a complete response without the endpoint's within %v",
						body, err, time.Since(start), latest)
				}
			})
		}
	}
}

// TestPausingEndpointGivesLongResponse guards against cutting off a long response whose endpoint pauses in the middle of it: only a
// pause that is longer than any hang of an endpoint ends it.
func TestPausingEndpointGivesLongResponse(t *testing.T) {
	t.Parallel()
	body := sidecartest.LongBody[:200<<10]
	half, last := len(body)/2, len(body)-1
	declared := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	const untilClose, inChunks, lastChunk = "Connection: close\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	var clients sync.WaitGroup
	defer clients.Wait()
	for name, parts := range map[string][]string{
		"declared, first byte":        {declared + body[:1], body[1:]},
		"declared, last byte":         {declared + body[:last], body[last:]},
		"until close, in halves":      {untilClose + body[:half], body[half:]},
		"until close, before the end": {untilClose + body, ""},
		"in chunks, in halves":        {inChunks + chunk(body[:half]), chunk(body[half:]) + lastChunk},
		"in chunks, before the end":   {inChunks + chunk(body), lastChunk},
	} {
		for _, pause := range []time.Duration{6 * time.Second, 12 * time.Second, 24 * time.Second} {
			more := make(chan bool, 1)
			sidecar, _ := startWithEndpoint(t, respondInParts(more, "HTTP/1.1 200 OK\r\n"+parts[0], parts[1]))
			request := sidecar.newRequest("read")
			request.Header.Set(exchange.ExpiryHeader, "500m")
			time.AfterFunc(pause, func() { more <- true })
			clients.Go(func() {
				if got, err := fetchBody(sidecar, request); err != nil || got != body {
					t.Errorf("%s, pause of %v: got %d bytes, error %v; want all %d bytes", name, pause, len(got), err, len(body))
				}
			})
		}
	}
}

// fetchBody sends a request and returns the body of its response. It may be called from any goroutine.
func fetchBody(sidecar *testSidecar, request *http.Request) (string, error) {
	response, err := sidecar.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestChunkSizeAnnouncesLongResponse guards against cutting off a long response at the end of its request's time because few of its
// bytes have arrived: the size of a chunk says that more than a short response will follow.
func TestChunkSizeAnnouncesLongResponse(t *testing.T) {
	t.Parallel()
	more := make(chan bool)
	size := 100 << 10
	first := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\nabcde", size)
	sidecar, _ := startWithEndpoint(t, respondInParts(more, first, sidecartest.LongBody[5:size], "\r\n0\r\n\r\n"))
	request := sidecar.newRequest("read")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	go func() {
		for range 2 {
			time.Sleep(time.Second)
			more <- true
		}
	}()
	if response, got := sidecar.do(request); response.StatusCode != http.StatusOK || len(got) != size {
		t.Errorf("got status %d and %d bytes, want 200 and %d bytes", response.StatusCode, len(got), size)
	}
}

// TestEarlyLongResponseOutlivesItsBody guards against cutting off a long response because its endpoint, which responds early, does
// not read the rest of the request body.
func TestEarlyLongResponseOutlivesItsBody(t *testing.T) {
	t.Parallel()
	const bodyBytes, pause = 24 << 20, 7 * time.Second // more than all socket buffers hold; longer than exchange.StallTimeout
	half := len(sidecartest.LongBody) / 2
	listener := sidecartest.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		http.ReadRequest(bufio.NewReader(conn))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*half, sidecartest.LongBody[:half])
		time.Sleep(pause)
		io.WriteString(conn, sidecartest.LongBody[half:])
		io.Copy(io.Discard, conn)
	}()
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", listener.Addr().String())))
	client := sidecar.dial()
	go io.WriteString(client, sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", bodyBytes))+strings.Repeat("b", bodyBytes))
	response := sidecar.expectResponse(client, "long response to a body that is not read", http.StatusOK)
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != sidecartest.LongBody {
		t.Errorf("got %d bytes, error %v; want all %d bytes", len(got), err, len(sidecartest.LongBody))
	}
}
