package http1

const (
	// MaxBufferedBody is the largest size in bytes of a body that is read completely before its message is forwarded. A
	// larger body is streamed.
	MaxBufferedBody = 64 << 10
	// MaxFields is the largest number of header lines of a message. Each one takes many times its length in memory.
	MaxFields = 1024
	// MaxBody is the size in bytes of the largest body that a client may send or an endpoint may announce. Bodies in
	// production have up to 32 MB.
	MaxBody = 33 << 20
)

// IsLong reports whether a body is longer than MaxBufferedBody, judging by the bytes that have been received and those that are
// announced beyond them.
func IsLong(received, announced int64) bool { return announced > MaxBufferedBody-received }
