package http1

import (
	"fmt"
	"io"
	"math"
)

// Part is a part of a response that has a limit.
type ResponsePart string

// The parts of a response.
const (
	PartHead ResponsePart = "head"
	PartBody ResponsePart = "body"
)

// noLimit lets a limitedReader read any number of bytes.
const noLimit = math.MaxInt

// SizeError means that a part of a response exceeds its limit.
type SizeError struct {
	Part  ResponsePart
	Limit int // in bytes
}

// Error returns the part and its limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of a response larger than %d bytes", e.Part, e.Limit)
}

// limitedReader returns a *SizeError after a number of bytes. It guards against an endpoint whose head does not end, which
// would exhaust the memory: http.ReadResponse bounds neither the head of a response nor the interim responses ahead of it.
type limitedReader struct {
	source    io.Reader
	remaining int // bytes that may still be read
	sizeError  SizeError
}

// setLimit lets a part of a response have limit bytes from now on.
func (l *limitedReader) setLimit(part ResponsePart, limit int) {
	l.remaining = limit
	l.sizeError = SizeError{Part: part, Limit: limit}
}

// Read implements io.Reader.
func (l *limitedReader) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		exceeded := l.sizeError
		return 0, &exceeded
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	return n, err
}
