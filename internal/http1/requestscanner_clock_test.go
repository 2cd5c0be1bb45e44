package http1

import (
	"strings"
	"testing"
	"time"
)

// TestScannerTimesAreMonotonic checks that the times of the scanner have a monotonic reading. Without it, a step of the
// wall clock while a request is read would make the request time out at once or never.
func TestScannerTimesAreMonotonic(t *testing.T) {
	var scanner RequestScanner
	now := time.Now()
	scanner.Scan([]byte("GET /api"), now)
	began, _ := scanner.Partial()
	lastByte, any := scanner.LastByteAt()
	if !any {
		t.Error("got no time of the last byte, want one")
	}
	for name, moment := range map[string]time.Time{"beginning": began, "last byte": lastByte} {
		if !moment.Equal(now) || !strings.Contains(moment.String(), " m=") {
			t.Errorf("%s of the request: got %v, want %v with its monotonic reading", name, moment, now)
		}
	}
}
