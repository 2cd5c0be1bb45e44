package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
)

const (
	// maxResponseHead bounds the bytes of the head of a response, with the interim responses ahead of it.
	maxResponseHead = 32 << 10
	// maxChunkedSizeRatio bounds how many times larger than its data a chunked body may be: a chunk may hold one byte.
	maxChunkedSizeRatio = 8
	// firstFinalStatus is the lowest status code that is not the one of an interim response.
	firstFinalStatus = 200
)

// ResponseReader reads the responses that arrive on one connection to an endpoint. It is not safe for concurrent use.
type ResponseReader struct {
	*bufio.Reader
	limit *limitedReader // the source of Reader
}

// NewResponseReader returns a reader of the responses that arrive from source, which must be at the start of one.
func NewResponseReader(source io.Reader) ResponseReader {
	limit := &limitedReader{source: source}
	return ResponseReader{Reader: bufio.NewReader(limit), limit: limit}
}

// Response is a response as Next reads it.
type Response struct {
	Head      *http.Response
	Body      []byte // complete, or the first part of a streamed one
	Streaming bool   // the body is long: the rest of it is still to be read from Head.Body
}

// Next reads the response to a request with the given method, and its body unless that is long.
//
// A body with an announced length is long if it exceeds MaxBufferedBody; Body is empty then. A body of unknown length
// is long if it turns out to exceed MaxBufferedBody, or, in a response with status 200, if it does not arrive
// completely within the deadline that observer.ShortenDeadline sets, as its length cannot be predicted. It is not long
// if something else interrupts the read: observer.ShortenedDeadlineExpired reports that.
//
// Next returns an error if the head is malformed, if a response with status 200 does not say where it ends, and if the
// body ends early. It returns a *SizeError if the head is too large or the response announces more than MaxBody bytes.
func (r ResponseReader) Next(method string, observer ResponseObserver) (Response, error) {
	resp, err := r.readHead(method)
	if err != nil {
		return Response{}, err
	}
	if bodyIgnored(resp) {
		return Response{Head: resp}, nil
	}
	if resp.ContentLength > MaxBody { // fails before the client has read any of it
		return Response{}, &SizeError{Part: PartBody, Limit: MaxBody}
	}
	if resp.StatusCode == http.StatusOK && !r.bufferHoldsBody(resp) {
		observer.ResponseStarted()
	}
	r.limit.setLimit(PartBody, maxChunkedSizeRatio*MaxBufferedBody)
	if resp.ContentLength > MaxBufferedBody {
		return Response{Head: resp, Streaming: true}, r.awaitBody()
	}
	body, long, err := r.readBody(resp, observer)
	return Response{Head: resp, Body: body, Streaming: long}, err
}

// awaitBody waits for the first byte of a long body, which may never arrive, and lifts the limit for the rest.
func (r ResponseReader) awaitBody() error {
	_, err := r.Peek(1)
	r.limit.setLimit(PartBody, noLimit)
	return err
}

// readBody reads a body of unknown length or of at most MaxBufferedBody bytes. It reports whether the body is long, and
// lifts the limit for the rest then.
func (r ResponseReader) readBody(resp *http.Response, observer ResponseObserver) (body []byte, long bool, err error) {
	mayStream := resp.StatusCode == http.StatusOK && resp.ContentLength < 0
	if mayStream {
		observer.ShortenDeadline()
		defer observer.RestoreDeadline()
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBody+1))
	long = len(body) > MaxBufferedBody
	if mayStream && len(body) > 0 && errors.Is(err, os.ErrDeadlineExceeded) && observer.ShortenedDeadlineExpired() {
		long = true
		err = nil
	}
	if long {
		r.limit.setLimit(PartBody, noLimit) // as much as the client reads
	}
	return body, long, err
}

// readHead reads up to the body of the final response and skips interim responses.
func (r ResponseReader) readHead(method string) (*http.Response, error) {
	r.limit.setLimit(PartHead, maxResponseHead)
	for {
		closes := r.announcesClose()
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < firstFinalStatus {
			continue
		}
		if bodyEndUnknown(resp) && !closes {
			return ignoreBody(resp)
		}
		if len(resp.TransferEncoding) > 0 { // "chunked": ReadResponse rejects all others
			resp.Body = io.NopCloser(&ChunkedReader{Source: r.Reader})
		}
		return resp, nil
	}
}
