package http1

import (
	"strings"
	"testing"
	"time"
)

// The wall clock of a machine may be stepped while a request is read. Its times must not move, or a request would time out
// at once or never.
func TestScannerTimesAreMonotonic(t *testing.T) {
	var scanner RequestScanner
	now := time.Now()
	scanner.Scan([]byte("GET /api"), now)
	began, _ := scanner.Partial()
	lastByte, any := scanner.LastByteAt()
	if !any {
		t.Error("no byte has arrived")
	}
	for name, moment := range map[string]time.Time{"beginning": began, "last byte": lastByte} {
		if !moment.Equal(now) || !strings.Contains(moment.String(), " m=") {
			t.Errorf("%s of the request at %v, want %v with its monotonic reading", name, moment, now)
		}
	}
}
