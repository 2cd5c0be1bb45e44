package http1

import (
	"bytes"
	"errors"
	"net/http"
)

const (
	// lastChunk is the last chunk of a chunked body that has no trailers.
	lastChunk = "0\r\n\r\n"
	// headEnd is the end of the last line of a head and the empty line after it. The last line may end without "\r".
	headEnd = "\n\r\n"
)

// errBodyEndUnknown is the error for a response whose head does not define where the body ends.
var errBodyEndUnknown = errors.New("response without Content-Length, Transfer-Encoding or Connection: close")

// ignoreBodyUnlessOK handles a response whose head does not define where the body ends. With status 200 it returns an
// error. With any other status the head is sufficient, so it removes the body and sets Close: the connection must not
// be used again.
func ignoreBodyUnlessOK(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusOK {
		return nil, errBodyEndUnknown
	}
	resp.Close = true
	resp.Body = http.NoBody
	return resp, nil
}

// bodyIgnored reports whether ignoreBodyUnlessOK has removed the body of a response. It is also true for a response
// with a status other than 200 that has no body and ends its connection.
func bodyIgnored(resp *http.Response) bool {
	return resp.Body == http.NoBody && resp.Close && resp.StatusCode != http.StatusOK
}

// bufferHoldsBody reports whether the buffer contains the complete body. A chunked body is assumed to be complete if
// the buffer ends with lastChunk.
func (r ResponseReader) bufferHoldsBody(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return int64(r.Buffered()) >= resp.ContentLength
	}
	buffered, _ := r.Peek(r.Buffered())
	return len(resp.TransferEncoding) > 0 && bytes.HasSuffix(buffered, []byte(lastChunk))
}

// announcesClose reports whether the next head has a Connection header with "close". net/http does not report that: it
// removes the header, and sets Close for every response without a length. The result is false for a head that does not
// fit into the buffer, which no known endpoint sends.
func (r ResponseReader) announcesClose() bool {
	for { // waits for no bytes after the end of the head, as there may be none
		head, _ := r.Peek(r.Buffered())
		if end := bytes.Index(head, []byte(headEnd)); end >= 0 {
			return hasCloseToken(head[:end])
		}
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return false
		}
	}
}

// bodyEndUnknown reports whether an HTTP/1.1 response has neither a Content-Length nor a Transfer-Encoding, so that its
// body extends to the end of the connection. An HTTP/1.1 connection stays open by default: unless the endpoint has
// announced that it will close the connection, reading such a body may never finish.
func bodyEndUnknown(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoAtLeast(1, 1)
}

// hasCloseToken reports whether a Connection header in head contains the token "close".
func hasCloseToken(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for token := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				return true
			}
		}
	}
	return false
}
