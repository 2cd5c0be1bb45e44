package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/sidecartest"
)

// uploadLastByte is the last byte of the body of an upload attempt; the other bytes are 'a'.
const uploadLastByte = 'Z'

// stoppedWriteConn is a connection on which the write of uploadLastByte always coincides with the end of the upload:
// the write returns, or starts if delaysWrite is set, only after a past write deadline was set.
type stoppedWriteConn struct {
	*net.TCPConn
	delaysWrite bool
	stopped     chan bool
	once        sync.Once
}

func (c *stoppedWriteConn) Write(p []byte) (int, error) {
	last := len(p) > 0 && p[len(p)-1] == uploadLastByte
	if last && c.delaysWrite {
		<-c.stopped
	}
	n, err := c.TCPConn.Write(p)
	if last && !c.delaysWrite {
		<-c.stopped
	}
	return n, err
}

func (c *stoppedWriteConn) SetWriteDeadline(at time.Time) error {
	err := c.TCPConn.SetWriteDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) {
		c.once.Do(func() { close(c.stopped) })
	}
	return err
}

func (c *stoppedWriteConn) SetDeadline(at time.Time) error {
	c.TCPConn.SetReadDeadline(at)
	return c.SetWriteDeadline(at)
}

// uploadPrefixBytes is the length of the bodies of upload attempts without their last byte: too long to be buffered.
const uploadPrefixBytes = 4 * http1.MaxBufferedBody

// newUploadAttempt returns an attempt with a streamed request body. It puts the connection that the attempt will use
// into the pool: a TCP connection that wrap may replace. awaitResponse is the Upload.MarkAwaitingResponse of the body.
func newUploadAttempt(
	t *testing.T, client *Client, endpoint *Endpoint, wrap func(*net.TCPConn) net.Conn, awaitResponse func() error,
) *Attempt {
	t.Helper()
	tcp, err := net.Dial("tcp", *endpoint.Address.Load())
	if err != nil {
		t.Fatal(err)
	}
	conn := wrap(tcp.(*net.TCPConn))
	client.pool.openConns++
	client.pool.put(&endpointConn{
		Conn: conn, reader: http1.NewResponseReader(conn), endpoint: endpoint, address: endpoint.Address.Load(),
	})
	attempt := newAttempt(endpoint, sidecartest.Timeout)
	attempt.PostUploadTimeout = sidecartest.Timeout
	text := strings.Repeat("a", uploadPrefixBytes) + string(uploadLastByte)
	attempt.Message.Body, attempt.Message.Upload = nil, &exchange.Upload{
		Length: int64(len(text)), Source: strings.NewReader(text), SetReadTimeout: func(time.Duration) {},
		MarkAwaitingResponse: awaitResponse, Budget: &exchange.ReplayBudget{},
	}
	return attempt
}

// TestCancelDuringLastByteOfUpload checks the result of an attempt that is stopped while the last byte of its body is being
// written. The request was certainly not executed only if that byte was not sent and never will be.
func TestCancelDuringLastByteOfUpload(t *testing.T) {
	reset := func(c net.Conn) bool { c.(*net.TCPConn).SetLinger(0); return false }
	for name, test := range map[string]struct {
		delaysWrite bool
		want        balance.Result
		received    int
	}{
		"byte sent":     {false, balance.ConnReset, 1},
		"byte not sent": {true, balance.ConnectFailed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, reset)
			client := newTestClient(t, testMaxConns)
			address := server.Addr
			if test.delaysWrite { // this server resets the connection before it has received the complete request
				listener := sidecartest.Listen(t)
				address = listener.Addr().String()
				go func() {
					if conn, err := listener.Accept(); err == nil {
						io.ReadFull(conn, make([]byte, uploadPrefixBytes)) // the request without the last bytes of its body
						reset(conn)
						conn.Close()
					}
				}()
			}
			wrap := func(tcp *net.TCPConn) net.Conn {
				return &stoppedWriteConn{TCPConn: tcp, delaysWrite: test.delaysWrite, stopped: make(chan bool)}
			}
			attempt := newUploadAttempt(t, client, newEndpoint(address), wrap, func() error { return nil })
			expectResult(t, client, attempt, test.want)
			if got := len(server.Requests()); got != test.received {
				t.Errorf("the server received %d complete requests, want %d", got, test.received)
			}
		})
	}
}

// TestUploadWithoutClientWithholdsLastByte checks that the last byte of a body is not sent if the client no longer
// waits for the response when the body is complete, and that the outcome contains the reason.
func TestUploadWithoutClientWithholdsLastByte(t *testing.T) {
	for _, err := range []error{downstream.ErrClientDisconnected, downstream.ErrTrailingData, exchange.ErrUploadStopped} {
		server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
		client := newTestClient(t, testMaxConns)
		unwrapped := func(tcp *net.TCPConn) net.Conn { return tcp }
		attempt := newUploadAttempt(t, client, newEndpoint(server.Addr), unwrapped, func() error { return err })
		outcome := expectResult(t, client, attempt, balance.NotAttempted)
		if !errors.Is(outcome.UploadError, err) {
			t.Errorf("got upload error %v, want %v", outcome.UploadError, err)
		}
		if got := len(server.Requests()); got != 0 {
			t.Errorf("%v: the server received %d complete requests, want 0", err, got)
		}
	}
}
