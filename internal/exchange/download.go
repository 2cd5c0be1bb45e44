package exchange

import (
	"context"
	"errors"
	"io"
)

// ErrDownloadStopped is the error of a Download whose rest is not read: its client has disconnected or does not accept it, or
// the response is not forwarded to a client at all.
var ErrDownloadStopped = errors.New("client stopped reading the response")

// Download is the rest of a response that is too long to be buffered: it is copied to the client while it arrives. The
// client side reads it; the attempt that it comes from stays open until Done has a value.
type Download struct {
	FirstBytes     []byte             // the part of the body that was read before the response was passed on
	Body           io.Reader          // the part of the body that is still to come
	ExtendDeadline func()             // gives the endpoint StallTimeout for the next bytes
	Length         int64              // length of the complete body in bytes as the endpoint declared it; -1: none declared
	Cancel         context.CancelFunc // ends the attempt
	Done           chan error         // receives how the download ended; buffered for one value
}

// Finish records how the download ended, nil for success. Only the first call has an effect. Any goroutine may call it.
func (d *Download) Finish(err error) {
	select {
	case d.Done <- err:
	default:
	}
}
