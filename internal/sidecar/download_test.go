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

// respondInParts returns a step that writes a response in parts and then closes the connection. Before each part after
// the first one, it waits for a value from next.
func respondInParts(next <-chan bool, parts ...string) sidecartest.Step {
	return func(conn net.Conn) bool {
		for i, part := range parts {
			if i > 0 {
				<-next
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return false
			}
		}
		return false
	}
}

// TestLongResponseStreaming checks for each kind of framing that a long response is forwarded as it arrives, that it
// may take longer than the deadline of its request, and that the request is pending until the last byte.
func TestLongResponseStreaming(t *testing.T) {
	half := len(sidecartest.LongBody) / 2
	firstHalf, secondHalf := sidecartest.LongBody[:half], sidecartest.LongBody[half:]
	for name, test := range map[string]struct{ head, first, second string }{
		"announced": {fmt.Sprintf("Content-Length: %d\r\n", len(sidecartest.LongBody)), firstHalf, secondHalf},
		"in chunks": {
			"Transfer-Encoding: chunked\r\n",
			fmt.Sprintf("%x\r\n%s\r\n", half, firstHalf),
			fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 7\r\n\r\n", half, secondHalf),
		},
		"to the end of the connection": {"Connection: close\r\n", firstHalf, secondHalf},
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + test.head + "\r\n"
			checkLongResponseStreaming(t, head+test.first, test.second)
		})
	}
}

// checkLongResponseStreaming checks that LongBody is streamed when the endpoint sends its second half after the
// deadline of the request. firstHalf and secondHalf include the head and the framing.
func checkLongResponseStreaming(t *testing.T, firstHalf, secondHalf string) {
	t.Helper()
	more := make(chan bool)
	sidecar, _ := startWithEndpointAndAdmin(t, respondInParts(more, firstHalf, secondHalf))
	request := sidecar.newRequest("read")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	start := time.Now()
	resp, err := sidecar.client.Do(request)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
	defer resp.Body.Close()
	got := make([]byte, len(sidecartest.LongBody)/2)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatalf("first half of the body: got error %v, want none", err)
	}
	if sidecar.metric("pending") != "1" || sidecar.resultCounts("read") != "0 0 0" {
		t.Errorf("after the first half: got %s pending requests and results %s, want 1 and 0 0 0",
			sidecar.metric("pending"), sidecar.resultCounts("read"))
	}
	time.Sleep(time.Until(start.Add(400 * time.Millisecond))) // past the deadline of the request
	more <- true
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(got)+string(rest) != sidecartest.LongBody {
		t.Errorf("second half of the body: got %d bytes, error %v, want the other %d bytes of LongBody",
			len(rest), err, len(sidecartest.LongBody)-len(got))
	}
	sidecar.waitForPendingRequests(0)
	if got := sidecar.resultCounts("read"); got != "1 0 0" {
		t.Errorf("got %s completed, rejected and failed requests, want 1 0 0", got)
	}
}

// TestTruncatedResponseClosesConnection guards against a truncated response that looks complete. An endpoint ends a
// long response early, after part of it was forwarded. If the sidecar ended its own response properly, the client would
// take the part for the whole. The client must see a broken connection, and the request must not be retried.
func TestTruncatedResponseClosesConnection(t *testing.T) {
	half := len(sidecartest.LongBody) / 2
	for name, test := range map[string]struct{ head, version string }{
		"announced":        {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(sidecartest.LongBody)), "HTTP/1.1"},
		"in chunks":        {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(sidecartest.LongBody)), "HTTP/1.1"},
		"to an old client": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(sidecartest.LongBody)), "HTTP/1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			truncated := "HTTP/1.1 200 OK\r\n" + test.head + sidecartest.LongBody[:half]
			server := sidecartest.NewScriptedServer(t, respondInParts(more, truncated, ""))
			cfg := sidecartest.Config(t,
				sidecartest.ReadyEndpoint("s-1", server.Addr), sidecartest.ReadyEndpoint("s-2", server.Addr))
			sidecar := startSidecar(t, withAdmin(cfg))
			client := sidecar.dial()
			sidecar.write(client, strings.Replace(sidecar.rawRequestHead("read"), "HTTP/1.1", test.version, 1))
			resp := sidecar.expectResponse(client, "request with a truncated response", http.StatusOK)
			if _, err := io.ReadFull(resp.Body, make([]byte, half)); err != nil {
				t.Fatal(err)
			}
			more <- true
			got, err := io.ReadAll(resp.Body)
			if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("rest of a truncated response: got %d bytes, error %v, want a broken connection", len(got), err)
			}
			sidecartest.WaitFor(t, "the request is counted as failed", func() bool {
				return sidecar.resultCounts("read") == "0 0 1"
			})
			if got := len(server.Requests()); got != 1 {
				t.Errorf("got %d requests at the servers, want 1", got)
			}
		})
	}
}

// TestUnknownLengthResponseStreaming checks that the first bytes of a response without a length are forwarded before
// its end, even if they are few: the client may wait for them, and the rest may have any length.
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
				t.Fatalf("got response %v, error %v, want status 200", resp, err)
			}
			defer resp.Body.Close()
			got := make([]byte, 5)
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "abcde" {
				t.Fatalf("got first bytes %q, error %v, want \"abcde\"", got, err)
			}
			more <- true
			if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "fghi" {
				t.Errorf("got rest of the body %q, error %v, want \"fghi\"", rest, err)
			}
		})
	}
}
