package http1

import (
	"bytes"
	"fmt"
	"io"
	"math"
)

// ResponsePart is a part of a response that has its own size limit.
type ResponsePart string

// The parts of a response, as they appear in the text of a SizeError.
const (
	PartHead ResponsePart = "head"
	PartBody ResponsePart = "body"
)

// noLimit is the limit of a limitedReader that never returns a *SizeError.
const noLimit = math.MaxInt

// SizeError reports that a part of a response exceeds its limit.
type SizeError struct {
	Part  ResponsePart
	Limit int // in bytes
}

// Error returns the part and its limit in bytes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of a response larger than %d bytes", e.Part, e.Limit)
}

// limitedReader reads from source and returns a *SizeError after a given number of bytes. It guards against a
// response head that never ends and would use up the memory: http.ReadResponse limits neither the head of a response
// nor the interim responses ahead of it.
type limitedReader struct {
	source    io.Reader
	remaining int       // bytes that may still be read
	sizeError SizeError // returned when remaining is 0
	headLines int       // line ends read since the limit of a head was set; may include some of the body
}

// maxHeadLines is the maximum of limitedReader.headLines. The buffer of the reader may contain as many bytes of a body after
// the head.
const maxHeadLines = MaxFields + 4096

// setLimit allows limit more bytes, which belong to part.
func (l *limitedReader) setLimit(part ResponsePart, limit int) {
	l.remaining = limit
	l.sizeError = SizeError{Part: part, Limit: limit}
	l.headLines = 0
}

// Read implements io.Reader.
func (l *limitedReader) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		sizeError := l.sizeError
		return 0, &sizeError
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	if l.sizeError.Part == PartHead {
		l.headLines += bytes.Count(buffer[:n], []byte("\n"))
		if l.headLines > maxHeadLines {
			return 0, ErrTooManyFields
		}
	}
	return n, err
}
