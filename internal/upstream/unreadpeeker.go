package upstream

import (
	"sync"
	"syscall"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// peekBufferBytes is how many unread bytes of a connection are looked at. It is more than a short response has, in chunks.
const peekBufferBytes = 2 * http1.MaxBufferedBody

// unreadPeeker looks at bytes that wait in the kernel. All connections share its buffer, so that it takes no memory for each
// response. The zero value is ready for use. It is safe for concurrent use.
type unreadPeeker struct {
	mu     sync.Mutex
	buffer []byte
}

// extent returns what is known about the rest of a body on a connection.
func (p *unreadPeeker) extent(conn *endpointConn, body http1.UnreadBody) http1.BodyExtent {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return body.Extent(nil, false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buffer == nil {
		p.buffer = make([]byte, peekBufferBytes)
	}
	n, ended := socket.PeekBytes(raw, p.buffer)
	return body.Extent(p.buffer[:n], ended)
}
