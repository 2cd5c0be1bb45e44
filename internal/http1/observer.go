package http1

// ResponseObserver is notified of the progress of a response. The goroutine that calls ResponseReader.Next calls its
// methods.
type ResponseObserver interface {
	// ResponseStarted is called when the head of a response with status 200 has arrived, but not its complete body. length is
	// the declared length of the body, or UnknownLength.
	ResponseStarted(length int64)
	// ReserveBody reserves memory for more bytes of the body. If it returns false, the body is streamed instead of buffered, unless
	// AwaitMemory says otherwise.
	ReserveBody(bytes int) bool
	// AwaitMemory is called if there is no memory for more bytes of a body of unknown length of which received bytes have been
	// read. It returns KeepReading when there is, or what to do instead. unread tells what has arrived but not been read.
	AwaitMemory(received, bytes int, unread UnreadBody) BodyStep
	// AwaitBody is called before each read of a body of unknown length of which received bytes have arrived, and returns what
	// to do next. For KeepReading it sets the deadline of the read. expired is true if the deadline of the last read has expired.
	AwaitBody(received int, expired bool) BodyStep
}

// BodyStep is what to do with a body of unknown length that is not complete.
type BodyStep uint8

// The steps of reading a body of unknown length.
const (
	KeepReading BodyStep = iota // keep what has arrived and wait for more
	StreamBody                  // stream the body, beginning with what has arrived
	FailBody                    // discard what has arrived: the response has failed
)

// NopResponseObserver is a ResponseObserver that does nothing.
type NopResponseObserver struct{}

// ResponseStarted does nothing.
func (NopResponseObserver) ResponseStarted(int64) {}

// ReserveBody returns true.
func (NopResponseObserver) ReserveBody(int) bool { return true }

// AwaitMemory returns StreamBody.
func (NopResponseObserver) AwaitMemory(int, int, UnreadBody) BodyStep { return StreamBody }

// AwaitBody returns KeepReading until the deadline of a read has expired.
func (NopResponseObserver) AwaitBody(_ int, expired bool) BodyStep {
	if expired {
		return FailBody
	}
	return KeepReading
}
