package downstream

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// abortingHandler aborts every request.
type abortingHandler struct{}

func (abortingHandler) RequestArrived(request *exchange.Exchange) {
	request.Responses <- &exchange.Response{Abort: true}
}

func (abortingHandler) ClientDisconnected(*exchange.Exchange) {}

// flagWriter records whether anything was written.
type flagWriter struct{ written atomic.Bool }

func (w *flagWriter) Write(p []byte) (int, error) {
	w.written.Store(true)
	return len(p), nil
}

// TestAbortClosesTheConnection checks that a request which is aborted ends its connection without a byte of a response, although
// the client has not closed it, and that this counts as no failure of the handler.
func TestAbortClosesTheConnection(t *testing.T) {
	settings := exchange.NewSettings(sidecartest.Config(t), &metrics.Metrics{})
	state := &exchange.ServiceState{}
	state.Settings.Store(settings)
	conns := NewConnTracker(10)
	failures := &flagWriter{}
	server := NewServer(state, abortingHandler{}, conns, 0, nil).HTTPServer(slog.New(slog.NewTextHandler(failures, nil)))
	inner := sidecartest.Listen(t)
	go server.Serve(NewListener(inner, conns, nopEvictor{}))
	t.Cleanup(func() { server.Close() })
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: 7\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n")
	client.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if got, err := io.ReadAll(client); len(got) > 0 || err != nil {
		t.Errorf("read %q, %v, want the end of the connection", got, err)
	}
	sidecartest.WaitFor(t, "the connection is closed", conns.empty)
	if failures.written.Load() {
		t.Error("net/http reported a failure")
	}
}
