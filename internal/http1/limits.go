package http1

const (
	// MaxBufferedBody is the size in bytes up to which the body of a message is read completely before the message is
	// passed on. A larger body is streamed.
	MaxBufferedBody = 64 << 10
	// MaxBody is the size in bytes of the largest body that a client may send or an endpoint may announce. Bodies in
	// production have up to 32 MB.
	MaxBody = 33 << 20
)
