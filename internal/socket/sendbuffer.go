package socket

import (
	"os"
	"strconv"
	"strings"
	"sync"
)

const (
	// sendBufferPath is the file with the smallest, the initial and the largest size of the send buffer of a TCP connection.
	sendBufferPath = "/proc/sys/net/ipv4/tcp_wmem"
	// defaultMaxSendBuffer is the size of a send buffer if the file cannot be read: the default of the kernel.
	defaultMaxSendBuffer = 4 << 20
)

// sendBufferMargin is the inverse of the fraction by which a send buffer may be exceeded: the kernel accepts the last piece of a
// write if the buffer is not full before it.
const sendBufferMargin = 4

// MaxSendBuffer returns how many bytes the send buffer of a TCP connection may hold, as the kernel sizes it by itself.
var MaxSendBuffer = sync.OnceValue(func() int64 {
	content, err := os.ReadFile(sendBufferPath)
	fields := strings.Fields(string(content))
	if err != nil || len(fields) == 0 {
		return withMargin(defaultMaxSendBuffer)
	}
	largest, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	if err != nil || largest <= 0 {
		largest = defaultMaxSendBuffer
	}
	return withMargin(largest)
})

// withMargin adds the margin to the size of a send buffer.
func withMargin(size int64) int64 { return size + size/sendBufferMargin }
