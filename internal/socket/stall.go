package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
)

const (
	// maxProgressInterval is the longest time between two checks whether the peer accepts bytes.
	maxProgressInterval = time.Second
	// minProgressChecks is the smallest number of checks within a stall timeout.
	minProgressChecks = 5
)

// StallLimit limits how long a write waits for its peer.
type StallLimit struct {
	Timeout time.Duration // how long the peer may accept no byte
	Until   time.Time     // when the write ends at the latest; zero: no limit
	Stopped func() error  // if it returns an error, the write ends with it; nil: never
}

// WriteWithStallLimit writes all bytes to a connection whose peer may read slowly. It fails with os.ErrDeadlineExceeded if
// the peer accepts no byte for limit.Timeout. If it returns an error, written is the number of bytes that the kernel has
// accepted. It changes the write deadline of the connection; a past deadline set by another goroutine makes it check
// limit.Stopped.
//
// A write deadline alone does not show whether the peer reads: the kernel wakes a blocked writer only when about a third of
// the send buffer, which grows to megabytes, is free. Writes are therefore repeated at short intervals, because the kernel
// accepts bytes as soon as there is room for them. If it is short of memory, it shrinks the send buffer and accepts none for
// longer, so bytes that the peer acknowledges count as accepted, too.
func WriteWithStallLimit(
	conn net.Conn, data []byte, call fault.Call, limit StallLimit,
) (written int, err error) {
	progress := newSendProgress(conn)
	for {
		conn.SetWriteDeadline(limit.nextCheck(time.Now()))
		if err := limit.stopped(); err != nil { // checked after the deadline is set, which may have replaced a past one
			return written, err
		}
		n, err := WriteConn(conn, data[written:], call)
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		progress.update(n)
		if limit.expired(time.Now(), progress.lastAt) {
			return written, err
		}
	}
}

// nextCheck returns when a blocked write is interrupted next.
func (l *StallLimit) nextCheck(now time.Time) time.Time {
	next := now.Add(min(maxProgressInterval, l.Timeout/minProgressChecks))
	if !l.Until.IsZero() && l.Until.Before(next) {
		return l.Until
	}
	return next
}

// expired reports whether the write must end, given when the peer accepted a byte for the last time.
func (l *StallLimit) expired(now, lastProgress time.Time) bool {
	pastEnd := !l.Until.IsZero() && !now.Before(l.Until)
	return pastEnd || now.Sub(lastProgress) >= l.Timeout
}

// stopped returns the error of Stopped.
func (l *StallLimit) stopped() error {
	if l.Stopped == nil {
		return nil
	}
	return l.Stopped()
}

// sendProgress records when the peer of a connection accepted bytes for the last time.
type sendProgress struct {
	conn           net.Conn
	unacknowledged int // when update last read it
	lastAt         time.Time
}

// newSendProgress starts to record the progress of a connection.
func newSendProgress(conn net.Conn) *sendProgress {
	return &sendProgress{conn: conn, lastAt: time.Now()}
}

// update records progress if the kernel has accepted bytes since the last call, or if the peer has acknowledged some.
func (p *sendProgress) update(accepted int) {
	before := p.unacknowledged
	if raw, ok := p.conn.(syscall.Conn); ok {
		if count, err := Unacknowledged(raw); err == nil {
			p.unacknowledged = count
		}
	}
	if accepted > 0 || p.unacknowledged < before {
		p.lastAt = time.Now()
	}
}
