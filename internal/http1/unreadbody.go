package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// UnreadBody tells how long the rest of a body is at least, without reading it.
type UnreadBody struct {
	reader *bufio.Reader // positioned at the rest of the body
	resp   *http.Response
}

// BodyExtent is what is known about the rest of a body.
type BodyExtent struct {
	Bytes    int64 // that have arrived
	Complete bool  // they are all
}

// Extent returns what is known about the rest of the body if the connection has these unread bytes, apart from those that were
// buffered. ended reports whether no more will follow.
func (u UnreadBody) Extent(unread []byte, ended bool) BodyExtent {
	buffered, _ := u.reader.Peek(u.reader.Buffered())
	chunked, isChunked := u.resp.Body.(*ChunkedReader)
	if !isChunked {
		return BodyExtent{Bytes: int64(len(buffered) + len(unread)), Complete: ended}
	}
	ahead := *chunked
	ahead.Source = bufio.NewReader(io.MultiReader(bytes.NewReader(buffered), bytes.NewReader(unread)))
	arrived, err := io.Copy(io.Discard, &ahead)
	return BodyExtent{Bytes: arrived, Complete: err == nil}
}
