package http1

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestRequestScannerRejectsAmbiguousFraming checks that a request with unambiguous framing passes completely, and
// that a request with ambiguous framing ends the scan with an error, however the bytes are split into reads.
func TestRequestScannerRejectsAmbiguousFraming(t *testing.T) {
	const get = "GET /api HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct {
		text    string
		want    error
		started int64
	}{
		"no body":                            {get, nil, 1},
		"two requests":                       {get + get, nil, 2},
		"body":                               {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde" + get, nil, 2},
		"body that looks like a head":        {"POST / HTTP/1.1\r\ncontent-length:23\r\n\r\nTransfer-Encoding: x\r\n\n", nil, 1},
		"chunked":                            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, nil, 1},
		"both lengths":                       {"POST / HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n", errConflictingLengths, 1},
		"both lengths, other order":          {"POST / HTTP/1.1\nTRANSFER-ENCODING: x\nContent-Length: 9\n\n", errConflictingLengths, 1},
		"both lengths in the second request": {get + "POST / HTTP/1.1\r\nTransfer-Encoding : a\r\nContent-Length : 0\r\n\r\n", errConflictingLengths, 2},
		"both lengths, long header":          {"POST / HTTP/1.1\r\nTransfer-Encoding: " + strings.Repeat("x", 500) + "\r\nContent-Length: 1\r\n\r\n", errConflictingLengths, 1},
		"repeated Content-Length":            {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", errInvalidLength, 1},
		"negative Content-Length":            {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", errInvalidLength, 1},
		"Content-Length out of range":        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", errInvalidLength, 1},
		"folded header":                      {"POST / HTTP/1.1\r\nX: 1\r\n Content-Length: 1\r\n\r\n", errFoldedHeader, 1},
	} {
		for _, step := range []int{1, 7, len(test.text)} {
			scanner := &RequestScanner{}
			passed := 0
			for rest := []byte(test.text); len(rest) > 0 && scanner.Err == nil; {
				n := min(step, len(rest))
				passed += scanner.Scan(rest[:n], time.Now())
				rest = rest[n:]
			}
			if started := scanner.RequestsStarted.Load(); !errors.Is(scanner.Err, test.want) || started != test.started {
				t.Errorf("%s in reads of %d bytes: got error %v after %d requests, want %v after %d",
					name, step, scanner.Err, started, test.want, test.started)
			}
			if complete := passed == len(test.text); complete != (test.want == nil) {
				t.Errorf("%s in reads of %d bytes: got %d of %d bytes passed on, want all of them: %t",
					name, step, passed, len(test.text), test.want == nil)
			}
		}
	}
}

// FuzzRequestScanner checks that the result of a scan does not depend on how the bytes are split into reads, and that
// not all bytes are passed on if there is an error.
func FuzzRequestScanner(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdeGET / HTTP/1.1\r\n\r\n"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n\n: \nContent-Length:\n\n"), uint8(0))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		atOnce, inParts := &RequestScanner{}, &RequestScanner{}
		passedAtOnce := atOnce.Scan(text, time.Now())
		if (passedAtOnce == len(text)) != (atOnce.Err == nil) {
			t.Errorf("got %d of %d bytes passed on with error %v, want all of them only without an error",
				passedAtOnce, len(text), atOnce.Err)
		}
		passedInParts := 0
		for rest := text; len(rest) > 0 && inParts.Err == nil; {
			n := min(int(step)+1, len(rest))
			passedInParts += inParts.Scan(rest[:n], time.Now())
			rest = rest[n:]
		}
		if passedInParts != passedAtOnce || !errors.Is(inParts.Err, atOnce.Err) || inParts.RequestsStarted.Load() != atOnce.RequestsStarted.Load() {
			t.Errorf("in parts: got %d bytes, error %v, %d requests, want %d bytes, error %v, %d requests as in one read",
				passedInParts, inParts.Err, inParts.RequestsStarted.Load(), passedAtOnce, atOnce.Err, atOnce.RequestsStarted.Load())
		}
		if len(atOnce.linePrefix) > maxLinePrefix {
			t.Errorf("got %d bytes of a header line stored, want at most %d", len(atOnce.linePrefix), maxLinePrefix)
		}
	})
}
