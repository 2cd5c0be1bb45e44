package socket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

const (
	// stallTimeout is the stall timeout of these tests.
	stallTimeout = time.Second
	// stallData is the length of the data to be written, which is longer than all buffers together.
	stallData = 32 << 20
	// stallPart is the length of the data of one write.
	stallPart = 32 << 10
	// slowPiece and slowPause define how fast a slow peer reads: at most 0.65 MB per second. The kernel then wakes a blocked
	// writer, which needs a third of the send buffer, less often than once in stallTimeout.
	slowPiece = 64 << 10
	slowPause = 100 * time.Millisecond
)

// newStallPair returns a connection and its peer.
func newStallPair(t *testing.T) (peer net.Conn, conn *net.TCPConn) {
	t.Helper()
	peer, conn = sidecartest.ConnPair(t)
	t.Cleanup(func() { conn.Close() })
	return peer, conn
}

// TestSlowPeerIsNotStalled guards against cutting off a peer that reads all the time, but so slowly that the kernel does not
// wake the blocked writer within the stall timeout.
func TestSlowPeerIsNotStalled(t *testing.T) {
	peer, conn := newStallPair(t)
	go func() {
		for start := time.Now(); time.Since(start) < 4*stallTimeout; time.Sleep(slowPause) {
			io.CopyN(io.Discard, peer, slowPiece)
		}
		io.Copy(io.Discard, peer)
	}()
	part := make([]byte, stallPart)
	for total := 0; total < stallData; total += len(part) {
		_, err := socket.WriteWithStallLimit(conn, part, fault.Write, socket.StallLimit{Timeout: stallTimeout})
		if err != nil {
			t.Fatalf("got error %v after %d bytes, want none", err, total)
		}
	}
}

// fullConn is a connection for which the kernel accepts no more bytes.
type fullConn struct {
	*net.TCPConn
	deadline time.Time
}

func (c *fullConn) SetWriteDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

func (c *fullConn) Write([]byte) (int, error) {
	time.Sleep(time.Until(c.deadline))
	return 0, os.ErrDeadlineExceeded
}

// TestAcknowledgedBytesAreProgress checks that the peer is not considered stalled while it acknowledges bytes, even if the
// kernel accepts none, and that it is when it acknowledges none.
func TestAcknowledgedBytesAreProgress(t *testing.T) {
	const readTime = 3 * stallTimeout
	peer, conn := newStallPair(t)
	conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	conn.Write(make([]byte, stallData)) // as much as the kernel accepts
	start := time.Now()
	go func() {
		for ; time.Since(start) < readTime; time.Sleep(slowPause) {
			io.CopyN(io.Discard, peer, slowPiece)
		}
	}()
	limit := socket.StallLimit{Timeout: stallTimeout}
	_, err := socket.WriteWithStallLimit(&fullConn{TCPConn: conn}, make([]byte, stallPart), fault.Write, limit)
	if after := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || after < readTime {
		t.Errorf("got error %v after %v, want %v after %v at least", err, after, os.ErrDeadlineExceeded, readTime)
	}
}

// TestStalledPeerEndsWrite checks that a write ends after the stall timeout if the peer does not read, so that the peer does
// not occupy its connection forever, and that other limits end it earlier.
func TestStalledPeerEndsWrite(t *testing.T) {
	const early = 100 * time.Millisecond
	stoppedErr := errors.New("stopped")
	start := time.Now()
	for name, test := range map[string]struct {
		limit     socket.StallLimit
		wantErr   error
		wantAfter time.Duration
	}{
		"stall timeout": {socket.StallLimit{Timeout: stallTimeout}, os.ErrDeadlineExceeded, stallTimeout},
		"end": {
			socket.StallLimit{Timeout: sidecartest.Timeout, Until: start.Add(early)}, os.ErrDeadlineExceeded, early,
		},
		"stopped": {
			socket.StallLimit{Timeout: sidecartest.Timeout, Stopped: func() error {
				if time.Since(start) >= early {
					return stoppedErr
				}
				return nil
			}}, stoppedErr, early,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, conn := newStallPair(t)
			_, err := socket.WriteWithStallLimit(conn, make([]byte, stallData), fault.Write, test.limit)
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			if after := time.Since(start); after < test.wantAfter || after > test.wantAfter+sidecartest.Timeout/2 {
				t.Errorf("the write ended after %v, want about %v", after, test.wantAfter)
			}
		})
	}
}
