package exchange

import (
	"context"
	"errors"
	"io"
)

// ErrDownloadStopped reports that the rest of a Download is not read: the client disconnected or stopped accepting
// bytes, or the response is not forwarded to a client at all.
var ErrDownloadStopped = errors.New("client stopped reading the response")

// Download is the body of a response that is too long to be buffered. It is copied to the client while it arrives.
// Package downstream reads it; the attempt that received the response stays open until Done has a value.
type Download struct {
	FirstBytes []byte             // the part of the body that was read before the Response was delivered
	Body       io.Reader          // the rest of the body, read from the endpoint, whose time limits it enforces
	Length     int64              // declared length of the complete body in bytes, or http1.UnknownLength
	Cancel     context.CancelFunc // cancels the attempt
	Done       chan error         // receives how the download ended; buffered for one value
}

// Finish records how the download ended; nil means success. Only the first call has an effect. Any goroutine may call it.
func (d *Download) Finish(err error) {
	select {
	case d.Done <- err:
	default:
	}
}
