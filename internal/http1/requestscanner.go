package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Errors of a request whose framing is ambiguous or invalid.
var (
	errConflictingLengths = errors.New("request with both Content-Length and Transfer-Encoding")
	errInvalidLength      = errors.New("request whose Content-Length is repeated or not a number")
	errFoldedHeader       = errors.New("request with a folded header line")
)

// ErrTooManyFields means that a head has more than MaxFields header lines.
var ErrTooManyFields = fmt.Errorf("head with more than %d fields", MaxFields)

const (
	// maxLinePrefix is the number of bytes of a header line that are stored: enough for the names and numbers of the
	// headers that define the framing.
	maxLinePrefix = 64
	// maxLengthBits is the number of bits of the largest Content-Length, which must fit into an int64.
	maxLengthBits = 63
	// UnknownLength is the length of a body that is not declared.
	UnknownLength = -1
)

// RequestScanner scans the bytes of one client connection and finds where each request begins and ends.
//
// It guards against request smuggling. If a request has both Content-Length and Transfer-Encoding, net/http ignores
// Content-Length. It then takes bytes that are body by the Content-Length for the next request, so that an endpoint
// executes a request that the client did not send as one. The scanner reports a request with both headers as an error
// and withholds the end of its head, so that net/http responds with 400 and closes the connection.
//
// The zero value is ready for use. Scan is called for each read of the connection, by one goroutine at a time. Other
// goroutines may call LastByteAt and Partial and read RequestsStarted at any time, but must synchronize with Scan to
// read the other fields.
type RequestScanner struct {
	linePrefix          []byte // the first bytes of the current line of a head, at most maxLinePrefix
	inHead              bool   // a request line or header line is being read
	inRequestLine       bool   // the current line is the request line
	contentLength       int64  // value of Content-Length in the current head, or UnknownLength
	hasTransferEncoding bool   // the current head has a Transfer-Encoding header
	bodyRemaining       int64  // bytes of the current body that have not arrived
	headBytes           int    // bytes of the current head that have arrived
	headFields          int    // header lines of the current head that have arrived

	// Chunked is set after the head of a chunked request. The scanner does not parse the bytes after it, so the
	// connection must be closed after this request.
	Chunked bool
	// Err is the framing error that ended the scan, or nil.
	Err error

	// RequestsStarted counts the requests of which at least one byte has arrived.
	RequestsStarted atomic.Int64

	// requestsCompleted counts the requests that have arrived completely, and chunked requests whose head has arrived.
	requestsCompleted atomic.Int64

	startedAt  atomic.Pointer[time.Time] // when the last request began, on the monotonic clock; nil before the first
	lastByteAt atomic.Pointer[time.Time] // when the last byte arrived, on the monotonic clock; nil before the first
}

// HeadSize returns the size of the current or last head, as far as it has arrived, in bytes and in header lines.
func (s *RequestScanner) HeadSize() (bytes, fields int) { return s.headBytes, s.headFields }

// BodyMissing returns how many bytes of the current body have not been scanned, or UnknownLength if it is chunked.
func (s *RequestScanner) BodyMissing() int64 {
	if s.Chunked {
		return UnknownLength
	}
	return s.bodyRemaining
}

// LastByteAt returns when the last byte arrived, and whether a byte has been received at all.
func (s *RequestScanner) LastByteAt() (at time.Time, received bool) { return loadTime(&s.lastByteAt) }

// loadTime returns a stored time, and whether it is set.
func loadTime(stored *atomic.Pointer[time.Time]) (at time.Time, set bool) {
	if pointer := stored.Load(); pointer != nil {
		return *pointer, true
	}
	return time.Time{}, false
}

// Partial reports whether the last request has arrived only in part, and when its first byte arrived.
func (s *RequestScanner) Partial() (startedAt time.Time, partial bool) {
	startedAt, _ = loadTime(&s.startedAt)
	return startedAt, s.RequestsStarted.Load() > s.requestsCompleted.Load()
}

// Scan processes the bytes of one read, which arrived at the time now, and returns how many of them may be passed to
// net/http: all of them, unless Scan sets s.Err. If it does, it must not be called again.
func (s *RequestScanner) Scan(data []byte, now time.Time) int {
	if len(data) > 0 {
		s.lastByteAt.Store(&now)
	}
	rest := data
	for len(rest) > 0 {
		switch {
		case s.Chunked:
			return len(data)
		case s.bodyRemaining > 0:
			rest = s.scanBody(rest)
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				s.appendLine(rest, now)
				s.headBytes += len(rest)
				return len(data)
			}
			s.appendLine(rest[:end], now)
			s.headBytes += end + 1
			s.Err = s.endLine()
			if s.Err != nil {
				return len(data) - len(rest) + end
			}
			rest = rest[end+1:]
		}
	}
	return len(data)
}

// scanBody skips the bytes of a body with a Content-Length and returns the bytes after them.
func (s *RequestScanner) scanBody(data []byte) (rest []byte) {
	n := min(s.bodyRemaining, int64(len(data)))
	s.bodyRemaining -= n
	if s.bodyRemaining == 0 {
		s.requestsCompleted.Add(1)
	}
	return data[n:]
}

// appendLine adds bytes to the current line of a head, and begins a new request if no head is being read.
func (s *RequestScanner) appendLine(part []byte, now time.Time) {
	if !s.inHead {
		s.beginHead(now)
	}
	remaining := maxLinePrefix - len(s.linePrefix)
	s.linePrefix = append(s.linePrefix, part[:min(len(part), remaining)]...)
}

// beginHead resets the state of the head for a new request that begins at now.
func (s *RequestScanner) beginHead(now time.Time) {
	s.inHead = true
	s.inRequestLine = true
	s.hasTransferEncoding = false
	s.contentLength = UnknownLength
	s.linePrefix = s.linePrefix[:0]
	s.headBytes, s.headFields = 0, 0
	s.startedAt.Store(&now)
	s.RequestsStarted.Add(1)
}

// endLine processes a complete line of a head. An empty line ends the head.
func (s *RequestScanner) endLine() error {
	line := strings.TrimSuffix(string(s.linePrefix), "\r")
	s.linePrefix = s.linePrefix[:0]
	if line == "" {
		return s.endHead()
	}
	if s.inRequestLine {
		s.inRequestLine = false
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedHeader
	}
	return s.scanHeader(line)
}

// scanHeader processes a header line, and stores what the headers Transfer-Encoding and Content-Length say.
func (s *RequestScanner) scanHeader(line string) error {
	s.headFields++
	if s.headFields > MaxFields {
		return ErrTooManyFields
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		s.hasTransferEncoding = true
	case "content-length":
		length, err := strconv.ParseUint(strings.TrimSpace(value), 10, maxLengthBits)
		if err != nil || s.contentLength != UnknownLength {
			return errInvalidLength
		}
		s.contentLength = int64(length)
	}
	return nil
}

// endHead processes the end of a head, and determines the framing of the body.
func (s *RequestScanner) endHead() error {
	s.inHead = false
	switch {
	case s.hasTransferEncoding && s.contentLength != UnknownLength:
		return errConflictingLengths
	case s.hasTransferEncoding:
		s.Chunked = true
	default:
		s.bodyRemaining = max(s.contentLength, 0)
	}
	if s.bodyRemaining == 0 {
		s.requestsCompleted.Add(1)
	}
	return nil
}
