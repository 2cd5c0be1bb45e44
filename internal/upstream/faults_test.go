//go:build faults

package upstream

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/sidecartest"
)

// TestExchangeContinuesAfterTransientErrors checks that an attempt does not fail, and does not send its request twice, when
// reads and writes fail for lack of memory, are interrupted, or transfer only some of the bytes.
func TestExchangeContinuesAfterTransientErrors(t *testing.T) {
	plan, err := fault.ParsePlan("seed=7 rate=0.3 short=0.9 receive=EINTR,ENOBUFS,ENOMEM send=EINTR,ENOBUFS,ENOMEM")
	if err != nil {
		t.Fatal(err)
	}
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	client := newTestClient(t, testMaxConns)
	fault.SetPlan(plan)
	t.Cleanup(func() { fault.SetPlan(nil) })
	const attempts = 20
	for range attempts {
		outcome := expectResult(t, client, newAttempt(newEndpoint(server.Addr), sidecartest.Timeout), balance.OK)
		if outcome.Response == nil || string(outcome.Response.Body) != "served" {
			t.Fatalf("got %+v, want the body \"served\"", outcome)
		}
	}
	if requests := server.Requests(); len(requests) != attempts {
		t.Errorf("the server received %d requests, want %d", len(requests), attempts)
	}
}

// TestConnectErrors checks which errors of connect count against the endpoint, and that a failed connection is not
// counted as open.
func TestConnectErrors(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	for errno, want := range map[syscall.Errno]balance.Result{
		syscall.ECONNREFUSED:  balance.ConnectFailed,
		syscall.ETIMEDOUT:     balance.ConnectFailed,
		syscall.EHOSTUNREACH:  balance.ConnectFailed,
		syscall.ENETUNREACH:   balance.ConnectFailed,
		syscall.EMFILE:        balance.NotAttempted,
		syscall.ENFILE:        balance.NotAttempted,
		syscall.ENOBUFS:       balance.NotAttempted,
		syscall.EADDRNOTAVAIL: balance.NotAttempted,
	} {
		client := newTestClient(t, testMaxConns)
		fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
			if call == fault.Connect {
				return errno
			}
			return nil
		}})
		outcome := client.Do(newAttempt(newEndpoint(server.Addr), sidecartest.Timeout))
		fault.SetPlan(nil)
		if outcome.Result != want || !outcome.Result.NeverExecuted() || client.pool.openConns != 0 {
			t.Errorf("%v: got %v with %d open connections, want %v with 0",
				errno, outcome.Result, client.pool.openConns, want)
		}
	}
}

// TestUnknownSendQueueWithdrawsRetry checks that an attempt is withdrawn at SendBy if the kernel does not report how much the
// endpoint has received, because the request could still arrive and be executed a second time.
func TestUnknownSendQueueWithdrawsRetry(t *testing.T) {
	const sendBy = 50 * time.Millisecond
	server := sidecartest.NewScriptedServer(t, func(net.Conn) bool { time.Sleep(4 * sendBy); return false })
	client := newTestClient(t, testMaxConns)
	fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
		if call == fault.SendQueue {
			return syscall.ENOMEM
		}
		return nil
	}})
	t.Cleanup(func() { fault.SetPlan(nil) })
	attempt := newAttempt(newEndpoint(server.Addr), sidecartest.Timeout)
	attempt.SendBy = time.Now().Add(sendBy)
	if outcome := expectResult(t, client, attempt, balance.Cancelled); !errors.Is(outcome.Err, errReceivedTooLate) {
		t.Errorf("got error %v, want %v", outcome.Err, errReceivedTooLate)
	}
}
