//go:build faults

package socket_test

import (
	"errors"
	"syscall"
	"testing"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestInterruptedSendQueueCallIsRepeated checks that a signal does not make the length of the send queue unknown, and that
// other errors do: a retry would be withdrawn although it was received, or not withdrawn although it was not.
func TestInterruptedSendQueueCallIsRepeated(t *testing.T) {
	_, conn := sidecartest.ConnPair(t)
	defer conn.Close()
	for errno, want := range map[syscall.Errno]error{syscall.EINTR: nil, syscall.ENOMEM: syscall.ENOMEM} {
		failures := 2
		fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
			if call != fault.SendQueue || failures == 0 {
				return nil
			}
			failures--
			return errno
		}})
		count, err := socket.Unacknowledged(conn)
		fault.SetPlan(nil)
		if count != 0 || !errors.Is(err, want) {
			t.Errorf("after %v: got %d bytes and error %v, want 0 bytes and error %v", errno, count, err, want)
		}
	}
}
