//go:build faults

package admin

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// TestAcceptErrorsDoNotEndServing checks that the admin address still responds after an error of accept.
func TestAcceptErrorsDoNotEndServing(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			var calls atomic.Int32
			fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
				if call == fault.Accept && calls.Add(1) <= 2 {
					return errno
				}
				return nil
			}})
			defer fault.SetPlan(nil)
			listener := sidecartest.Listen(t)
			server := New(&metrics.Metrics{}, func() bool { return true })
			done := make(chan struct{})
			go func() {
				defer close(done)
				server.Serve(t.Context(), listener, slog.New(slog.DiscardHandler))
			}()
			client := http.Client{Timeout: sidecartest.Timeout}
			response, err := client.Get("http://" + listener.Addr().String() + readyPath)
			if err != nil {
				t.Fatalf("GET %s after two errors of accept: got error %v, want a response", readyPath, err)
			}
			response.Body.Close()
			select {
			case <-done:
				t.Error("Serve returned after errors of accept, want it to continue")
			default:
			}
		})
	}
}
