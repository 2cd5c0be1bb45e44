package downstream

import (
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestBodyDeadlineGrowsWithBytesRead checks that the read deadline of a body grows with the number of bytes that have
// arrived, not with the number of reads.
func TestBodyDeadlineGrowsWithBytesRead(t *testing.T) {
	startedAt := time.Now()
	var deadline time.Time
	reader := &pacedReader{
		source:         strings.NewReader(sidecartest.LongBody),
		startedAt:      startedAt,
		serverDeadline: startedAt.Add(time.Second),
		setDeadline: func(t time.Time) error {
			deadline = t
			return nil
		},
	}
	reader.Read(make([]byte, 100))
	if !deadline.IsZero() {
		t.Errorf("after 100 bytes: got a deadline %v after the start, want the server's deadline unchanged",
			deadline.Sub(startedAt))
	}
	reader.Read(make([]byte, 48<<10))
	if got := deadline.Sub(startedAt); got < bodyGracePeriod+time.Second || got > bodyGracePeriod+2*time.Second {
		t.Errorf("after another 48 KiB: got a deadline %v after the start, want %v to %v",
			got, bodyGracePeriod+time.Second, bodyGracePeriod+2*time.Second)
	}
}
