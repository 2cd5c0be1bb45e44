package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
)

// respondInParts writes the parts of a response, waits for a signal before each part but the first, and closes the
// connection.
func respondInParts(next <-chan bool, texts ...string) sidecartest.Step {
	return func(conn net.Conn) bool {
		for i, text := range texts {
			if i > 0 {
				<-next
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return false
			}
		}
		return false
	}
}

// TestLongResponseStreaming checks that a long response is forwarded as it arrives, in each framing, that it may take
// longer than the deadline of its request, and that the request is pending until the last byte.
func TestLongResponseStreaming(t *testing.T) {
	half := len(sidecartest.LongBody) / 2
	for name, test := range map[string]struct{ head, first, second string }{
		"announced": {fmt.Sprintf("Content-Length: %d\r\n", len(sidecartest.LongBody)), sidecartest.LongBody[:half], sidecartest.LongBody[half:]},
		"in chunks": {"Transfer-Encoding: chunked\r\n",
			fmt.Sprintf("%x\r\n%s\r\n", half, sidecartest.LongBody[:half]), fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 7\r\n\r\n", half, sidecartest.LongBody[half:])},
		"to the end of the connection": {"Connection: close\r\n", sidecartest.LongBody[:half], sidecartest.LongBody[half:]},
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + test.head + "\r\n"
			checkLongResponseStreaming(t, head+test.first, test.second)
		})
	}
}

// checkLongResponseStreaming checks the streaming of LongBody from a response whose second half comes after the deadline.
func checkLongResponseStreaming(t *testing.T, firstHalf, secondHalf string) {
	t.Helper()
	more := make(chan bool)
	sidecar, _ := startWithEndpointAndAdmin(t, respondInParts(more, firstHalf, secondHalf))
	request := sidecar.newRequest("read")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	start := time.Now()
	resp, err := sidecar.client.Do(request)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v", resp, err)
	}
	defer resp.Body.Close()
	got := make([]byte, len(sidecartest.LongBody)/2)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatalf("first half of the body: %v", err)
	}
	if sidecar.metric("pending") != "1" || sidecar.resultCounts("read") != "0 0 0" {
		t.Errorf("after the first half: %s pending, results %s", sidecar.metric("pending"), sidecar.resultCounts("read"))
	}
	time.Sleep(time.Until(start.Add(400 * time.Millisecond))) // past the deadline of the request
	more <- true
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(got)+string(rest) != sidecartest.LongBody {
		t.Errorf("second half of the body: %d bytes, error %v", len(rest), err)
	}
	sidecar.waitForPending(0)
	if got := sidecar.resultCounts("read"); got != "1 0 0" {
		t.Errorf("completed, rejected and failed requests are %s, want 1 0 0", got)
	}
}

// TestTruncatedResponseClosesConnection tests the failure in which an endpoint ends a long response early, of which the client
// has a part. If the sidecar ended its own message in order, the client would take the part for the whole. The client must see a
// broken connection, and the request must not be retried.
func TestTruncatedResponseClosesConnection(t *testing.T) {
	for name, test := range map[string]struct{ head, version string }{
		"announced":        {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(sidecartest.LongBody)), "HTTP/1.1"},
		"in chunks":        {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(sidecartest.LongBody)), "HTTP/1.1"},
		"to an old client": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(sidecartest.LongBody)), "HTTP/1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			server := sidecartest.NewScriptedServer(t, respondInParts(more, "HTTP/1.1 200 OK\r\n"+test.head+sidecartest.LongBody[:len(sidecartest.LongBody)/2], ""))
			cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr), sidecartest.ReadyEndpoint("s-2", server.Addr))
			sidecar := startSidecar(t, withAdmin(cfg))
			client := sidecar.dial()
			sidecar.write(client, strings.Replace(sidecar.rawRequestHead("read"), "HTTP/1.1", test.version, 1))
			resp := sidecar.expectResponse(client, "request with a truncated response", http.StatusOK)
			if _, err := io.ReadFull(resp.Body, make([]byte, len(sidecartest.LongBody)/2)); err != nil {
				t.Fatal(err)
			}
			more <- true
			if got, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("rest of a truncated response: %d bytes, error %v, want a broken connection", len(got), err)
			}
			sidecartest.WaitFor(t, "the request is counted as failed", func() bool { return sidecar.resultCounts("read") == "0 0 1" })
			if got := len(server.Requests()); got != 1 {
				t.Errorf("the servers received %d requests, want 1", got)
			}
		})
	}
}

// TestUnknownLengthResponseStreaming checks that the first bytes of a short response without a length are forwarded before
// its end: the client may wait for them, and the rest may be of any length.
func TestUnknownLengthResponseStreaming(t *testing.T) {
	for name, test := range map[string]struct{ first, second string }{
		"in chunks":                    {"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n4", "\r\nfghi\r\n0\r\n\r\n"},
		"to the end of the connection": {"Connection: close\r\n\r\nabcde", "fghi"},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			sidecar, _ := startWithEndpoint(t, respondInParts(more, "HTTP/1.1 200 OK\r\n"+test.first, test.second))
			resp, err := sidecar.client.Do(sidecar.newRequest("read"))
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("response %v, error %v", resp, err)
			}
			defer resp.Body.Close()
			got := make([]byte, 5)
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "abcde" {
				t.Fatalf("first bytes %q, error %v", got, err)
			}
			more <- true
			if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "fghi" {
				t.Errorf("rest of the body %q, error %v", rest, err)
			}
		})
	}
}
