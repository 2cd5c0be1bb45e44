package soak

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// loggedRequests is the number of requests that the test sends. Each of them is logged twice, which together is more
// than a pipe can buffer.
const loggedRequests = 800

// TestSidecarRespondsWhenLogIsNotRead checks that a sidecar still responds to requests when the pipe for its log is
// full or the read end of the pipe is closed.
func TestSidecarRespondsWhenLogIsNotRead(t *testing.T) {
	for name, prepare := range map[string]func(reader *os.File){
		"full":   func(*os.File) {},
		"closed": func(reader *os.File) { reader.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startFleet(t, 2, func(*http.Request) standin.Reply { return standin.Reply{Kind: standin.ReplyError} })
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			prepare(reader)
			config := fleet.config(t, "n0", defaultSettings())
			sidecar, err := standin.StartProcessWithLog(sidecarPath, t.TempDir(), config, writer)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sidecar.Kill)
			client := standin.NewClient(sidecar.Config.Listen)
			defer client.Close()
			for i := range loggedRequests {
				exchange := client.Do(standin.Request{
					TraceID: fmt.Sprintf("log-%d", i), Class: "pay", Idempotency: balance.NonIdempotent,
					Tenant: tenantName, Deadline: 2 * time.Second,
				})
				if exchange.Outcome != standin.ExchangeFailed && exchange.Outcome != standin.ExchangeRejected {
					t.Fatalf("request %d: got %v (error: %v), want %v or %v",
						i, exchange.Outcome, exchange.Err, standin.ExchangeFailed, standin.ExchangeRejected)
				}
			}
		})
	}
}
