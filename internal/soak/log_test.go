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

// TestLogThatNobodyReads checks that requests are served although the pipe that takes the log is full, or its reader has ended.
func TestLogThatNobodyReads(t *testing.T) {
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
			sidecar, err := standin.StartProcessWithLog(sidecarPath, t.TempDir(), fleet.config(t, "n0", defaultSettings()), writer)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sidecar.Kill)
			client := standin.NewClient(sidecar.Config.Listen)
			defer client.Close()
			for i := range 800 { // each request is logged twice, in more bytes together than a pipe holds
				exchange := client.Do(standin.Request{
					TraceID: fmt.Sprintf("log-%d", i), Class: "pay", Idempotency: balance.NonIdempotent, Tenant: tenantName, Deadline: 2 * time.Second,
				})
				if exchange.End != standin.ExchangeFailed && exchange.End != standin.ExchangeRejected {
					t.Fatalf("request %d: %v (%v), want a response of the sidecar", i, exchange.End, exchange.Err)
				}
			}
		})
	}
}
