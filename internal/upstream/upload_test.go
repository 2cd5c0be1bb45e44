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

// crossingConn is a connection on which the write of a last byte 'Z' always coincides with the cancellation of its attempt:
// the write returns, or starts if delaysWrite is set, only once the write deadline was ended.
type crossingConn struct {
	*net.TCPConn
	delaysWrite bool
	stopped     chan bool
	once        sync.Once
}

func (c *crossingConn) Write(p []byte) (int, error) {
	last := len(p) > 0 && p[len(p)-1] == 'Z'
	if last && c.delaysWrite {
		<-c.stopped
	}
	n, err := c.TCPConn.Write(p)
	if last && !c.delaysWrite {
		<-c.stopped
	}
	return n, err
}

func (c *crossingConn) SetWriteDeadline(at time.Time) error {
	err := c.TCPConn.SetWriteDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) {
		c.once.Do(func() { close(c.stopped) })
	}
	return err
}

func (c *crossingConn) SetDeadline(at time.Time) error {
	c.TCPConn.SetReadDeadline(at)
	return c.SetWriteDeadline(at)
}

// newUploadAttempt returns an attempt with a streamed request body. It puts the connection that the attempt will use into the
// pool: wrap makes it of a TCP connection.
func newUploadAttempt(t *testing.T, client *Client, endpoint *Endpoint, wrap func(*net.TCPConn) net.Conn, awaitResponse func() error) *Attempt {
	t.Helper()
	tcp, err := net.Dial("tcp", *endpoint.Address.Load())
	if err != nil {
		t.Fatal(err)
	}
	conn := wrap(tcp.(*net.TCPConn))
	client.pool.openConns++
	client.pool.put(&endpointConn{Conn: conn, reader: http1.NewResponseReader(conn), endpoint: endpoint, address: endpoint.Address.Load()})
	attempt := newAttempt(endpoint, sidecartest.Timeout)
	attempt.TimeAfterUpload = sidecartest.Timeout
	text := strings.Repeat("a", 4*http1.MaxBufferedBody) + "Z"
	attempt.Message.Body, attempt.Message.Upload = nil, &exchange.Upload{
		Length: int64(len(text)), Source: strings.NewReader(text), SetReadTimeout: func(time.Duration) {},
		MarkAwaitingResponse: awaitResponse, Budget: &exchange.BufferBudget{},
	}
	return attempt
}

// TestCancelDuringLastByteOfUpload checks an attempt that is stopped while the last byte of its body is being written: the
// request was certainly not executed only if that byte was not sent, and will not be.
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
			client := newTestClient(t, 500)
			address := server.Addr
			if test.delaysWrite { // a server that resets the connection before the end of the request
				listener := sidecartest.Listen(t)
				address = listener.Addr().String()
				go func() {
					if conn, err := listener.Accept(); err == nil {
						io.ReadFull(conn, make([]byte, 4*http1.MaxBufferedBody)) // the request without the last bytes of its body
						reset(conn)
						conn.Close()
					}
				}()
			}
			wrap := func(tcp *net.TCPConn) net.Conn {
				return &crossingConn{TCPConn: tcp, delaysWrite: test.delaysWrite, stopped: make(chan bool)}
			}
			expectOutcome(t, client, newUploadAttempt(t, client, newEndpoint(address), wrap, func() error { return nil }), test.want)
			if got := len(server.Requests()); got != test.received {
				t.Errorf("the server received %d complete requests, want %d", got, test.received)
			}
		})
	}
}

// TestUploadWithoutClientWithholdsLastByte checks that the last byte of a body is not sent if its client has disconnected when
// all of it has come, and that the result says why.
func TestUploadWithoutClientWithholdsLastByte(t *testing.T) {
	for _, err := range []error{downstream.ErrClientDisconnected, downstream.ErrSurplus, exchange.ErrNoLongerAwaited} {
		server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
		client := newTestClient(t, 500)
		unwrapped := func(tcp *net.TCPConn) net.Conn { return tcp }
		outcome := expectOutcome(t, client, newUploadAttempt(t, client, newEndpoint(server.Addr), unwrapped, func() error { return err }), balance.NotAttempted)
		if !errors.Is(outcome.UploadError, err) {
			t.Errorf("upload error %v, want %v", outcome.UploadError, err)
		}
		if got := len(server.Requests()); got != 0 {
			t.Errorf("%v: the server received %d complete requests, want 0", err, got)
		}
	}
}
