package http1

import (
	"bytes"
	"errors"
	"net/http"
)

// errBodyEndUnknown is the error for a response whose head does not define where the body ends.
var errBodyEndUnknown = errors.New("response without Content-Length, Transfer-Encoding or Connection: close")

// ignoreBody handles a response whose head does not define where the body ends. With status 200 it returns an error.
// With any other status the head is sufficient: ignoreBody removes the body, and the connection must not be used
// again.
func ignoreBody(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusOK {
		return nil, errBodyEndUnknown
	}
	resp.Close = true
	resp.Body = http.NoBody
	return resp, nil
}

// bodyIgnored reports whether ignoreBody has removed the body of a response. It is also true for a response with a
// status other than 200 that has no body and ends its connection.
func bodyIgnored(resp *http.Response) bool {
	return resp.Body == http.NoBody && resp.Close && resp.StatusCode != http.StatusOK
}

// bufferHoldsBody reports whether the buffer contains the complete body. A chunked body is assumed to be complete if
// the buffer ends with a chunk of size zero and no trailers.
func (r ResponseReader) bufferHoldsBody(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return int64(r.Buffered()) >= resp.ContentLength
	}
	buffered, _ := r.Peek(r.Buffered())
	return len(resp.TransferEncoding) > 0 && bytes.HasSuffix(buffered, []byte("0\r\n\r\n"))
}

// announcesClose reports whether the next head has a Connection header with "close". net/http does not report that: it
// removes the header, and sets Close for every response without a length. The result is false for a head that does not
// fit into the buffer, which no known endpoint sends.
func (r ResponseReader) announcesClose() bool {
	for { // reads no further than needed to find the end of the head, as nothing may follow it
		head, _ := r.Peek(r.Buffered())
		if end := bytes.Index(head, []byte("\n\r\n")); end >= 0 {
			return hasCloseToken(head[:end])
		}
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return false
		}
	}
}

// bodyEndUnknown reports whether the body of a response extends to the end of the connection. An HTTP/1.1 connection
// stays open by default, so reading such a body may never finish unless the endpoint announced that it would close the
// connection.
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
