package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

const (
	raceProcesses = 3 // sidecars, one after the other
	raceEndpoints = 16
	raceClasses   = 60
	// raceWaves is the number of requests of each class. It is small, because an attempt is overdue after raceOverdue
	// only while its class has few samples.
	raceWaves    = 4
	raceDeadline = 300 * time.Millisecond // how long clients wait for a response to begin
	raceOverdue  = raceDeadline / 3
	// raceLoadClients is the number of clients that keep the only processor of the sidecar busy.
	raceLoadClients = 24
	// The heads of the responses arrive in a period of raceJitter around the time at which their attempts are overdue.
	// raceJitterBefore is the fraction of the period that is before that time.
	raceJitter       = 3 * time.Millisecond
	raceJitterBefore = 0.6
	// raceBodyPause is the pause between the parts of a body. It is shorter than maxResponseHold of package upstream.
	raceBodyPause = 12 * time.Millisecond
)

// TestResponseIsCompleteWhenItsAttemptIsOverdue guards against truncated responses when the head of a response of
// unknown length arrives just as the balancer cancels the attempt as overdue, to retry it at another endpoint.
//
// A cancellation interrupts the read of a response by setting a read deadline in the past. If the reader mistakes that
// for the end of maxResponseHold, it streams the part of the body that it has. The event loop then passes this part
// on as the final response of an attempt that it has cancelled. The next read fails, and the client's connection is
// closed without a complete response: in one run 84 ms after its only endpoint received the request, which it had
// executed within 10 ms. In a repetition of that run, the sidecar cancelled an attempt as overdue after 67 ms.
//
// Such a failure logs an attempt that is both cancelled and streamed. A response broken by the endpoint, a client that
// disconnected, an eviction, a shutdown and a panic are logged with other reasons. This test depends on timing;
// TestInterruptedResponseIsNotStreamed in package upstream forces the order of the events.
func TestResponseIsCompleteWhenItsAttemptIsOverdue(t *testing.T) {
	for round := range raceProcesses {
		for _, failure := range runOverdueRace(t, round) {
			t.Error(failure)
		}
	}
}

// runOverdueRace runs one sidecar whose attempts become overdue at about the time at which their responses begin. It
// returns a description of each exchange that ended without a complete response or with a wrong body.
func runOverdueRace(t *testing.T, round int) (failures []string) {
	behavior := func(r *http.Request) standin.Reply {
		if !strings.HasPrefix(r.Header.Get("X-Qos"), "read") {
			return standin.Reply{}
		}
		delay := raceOverdue + time.Duration((rand.Float64()-raceJitterBefore)*float64(raceJitter))
		return standin.Reply{
			Delay: delay, Framing: standin.FramedByClose, PartCount: 2, PartPause: raceBodyPause, PaddingBytes: 2000,
		}
	}
	fleet := startFleet(t, raceEndpoints, behavior)
	sidecar := fleet.startSidecar(t, fmt.Sprintf("n%d", round), raceSettings())
	client := standin.NewClient(sidecar.Config.Listen)
	defer client.Close()
	stopLoad := startLoad(sidecar, raceLoadClients, round)
	for wave := range raceWaves {
		var running sync.WaitGroup
		for class := range raceClasses {
			running.Go(func() {
				client.Do(standin.Request{
					TraceID: standin.TraceID(round*100000 + wave*1000 + class), Class: raceClass(class),
					Tenant: tenantName, Deadline: raceDeadline,
				})
			})
		}
		running.Wait()
	}
	stopLoad()
	for _, exchange := range client.Exchanges() {
		if exchange.Outcome == standin.ExchangeTruncated || exchange.Outcome == standin.ExchangeClosed || exchange.WrongBody {
			line := fmt.Sprintf("request %s of class %s: got %v (error: %v, wrong body: %v), want a complete response",
				exchange.TraceID, exchange.Class, exchange.Outcome, exchange.Err, exchange.WrongBody)
			failures = append(failures, line+"\n"+strings.Join(sidecar.LogLines(exchange.TraceID), "\n"))
		}
	}
	return failures
}

// raceClass returns the name of the idempotent class with a number.
func raceClass(number int) string { return fmt.Sprintf("read-%d", number) }

// raceSettings returns settings with raceClasses additional idempotent classes. While a class has few samples, its
// attempts are overdue after a third of the time that their clients wait.
func raceSettings() any {
	settings := defaultSettings()
	for number := range raceClasses {
		class := settings.Classes[0]
		class.Name = raceClass(number)
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// startLoad starts clients that send requests of the class "pay" one after the other until stop is called. stop waits
// until the clients have ended.
func startLoad(sidecar *standin.Process, clients, round int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			client := standin.NewClient(sidecar.Config.Listen)
			defer client.Close()
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				default:
				}
				client.Do(standin.Request{
					TraceID: fmt.Sprintf("load-%d-%d-%d", round, i, number), Class: "pay", Idempotency: balance.NonIdempotent,
					Tenant: tenantName, Deadline: 2 * time.Second,
				})
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}
