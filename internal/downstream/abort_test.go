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

// abortingHandler is a RequestHandler that aborts every request.
type abortingHandler struct{}

func (abortingHandler) RequestArrived(ex *exchange.Exchange) {
	ex.Responses <- &exchange.Response{Abort: true}
}

func (abortingHandler) ClientDisconnected(*exchange.Exchange) {}

// flagWriter records whether anything was written.
type flagWriter struct{ written atomic.Bool }

func (w *flagWriter) Write(p []byte) (int, error) {
	w.written.Store(true)
	return len(p), nil
}

// TestAbortClosesTheConnection checks that an aborted request closes its connection without a byte of a response,
// although the client has not closed it, and that net/http does not log this as a failure of the handler.
func TestAbortClosesTheConnection(t *testing.T) {
	settings := exchange.NewSettings(sidecartest.Config(t), &metrics.Metrics{})
	state := &exchange.ServiceState{}
	state.Settings.Store(settings)
	tracker := NewConnTracker(10)
	errorLog := &flagWriter{}
	handler := NewServer(state, abortingHandler{}, tracker, 0, &metrics.Metrics{}, nil)
	server := handler.HTTPServer(slog.New(slog.NewTextHandler(errorLog, nil)))
	inner := sidecartest.Listen(t)
	go server.Serve(NewListener(inner, tracker, nopEvictor{}))
	t.Cleanup(func() { server.Close() })
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	const request = "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: 7\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n"
	io.WriteString(client, request)
	client.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if got, err := io.ReadAll(client); len(got) > 0 || err != nil {
		t.Errorf("client got %q, error %v, want a closed connection without a byte", got, err)
	}
	sidecartest.WaitFor(t, "the connection is closed", tracker.empty)
	if errorLog.written.Load() {
		t.Error("got an entry in the error log of net/http, want none")
	}
}
