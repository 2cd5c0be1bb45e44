//go:build faults

package downstream

import (
	"io"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/sidecartest"
)

// TestUnknownReceiveQueueDoesNotEndSlowUpload guards against the end of an upload whose client still writes, in small pieces, if the
// kernel does not say how many bytes are unread.
func TestUnknownReceiveQueueDoesNotEndSlowUpload(t *testing.T) {
	const pause = 5 * time.Millisecond
	fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
		if call == fault.ReceiveQueue {
			return syscall.EINVAL
		}
		return nil
	}})
	defer fault.SetPlan(nil)
	client, accepted := sidecartest.ConnPair(t)
	conn := NewConnTracker(1).Add(accepted)
	defer conn.Close()
	upload := &exchange.Upload{}
	conn.startArrival(upload)
	go func() {
		for range 10 {
			time.Sleep(pause)
			io.WriteString(client, "POST")
		}
	}()
	startedAt := time.Now()
	if _, err := io.ReadFull(conn, make([]byte, 40)); err != nil {
		t.Fatal(err)
	}
	if got := upload.EarliestLastByte(); got.Before(startedAt.Add(8 * pause)) {
		t.Errorf("got the last byte %v after the start at the earliest, want at least %v", got.Sub(startedAt), 8*pause)
	}
}

// TestUnknownStateIsNotADisconnect guards against ending a request because the kernel does not say whether its client has left.
func TestUnknownStateIsNotADisconnect(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINVAL, syscall.ENOMEM} {
		fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
			if call == fault.PollPeer {
				return errno
			}
			return nil
		}})
		client, accepted := sidecartest.ConnPair(t)
		conn := NewConnTracker(1).Add(accepted)
		io.WriteString(client, "unread")
		if conn.CheckClientDisconnected() {
			t.Errorf("%v: got disconnected, want not", errno)
		}
		conn.Close()
		fault.SetPlan(nil)
	}
}
