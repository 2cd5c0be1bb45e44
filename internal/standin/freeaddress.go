package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
)

// The range of ports that FreeAddress returns. It lies below the kernel's default range for outgoing connections, which
// begins at 32768. An outgoing connection could take a port of the kernel's range before the caller listens on it,
// and the listener would fail with "address already in use".
const (
	firstPort = 20000
	portCount = 10000
)

// portOffset is incremented for each port that is tried. Modulo portCount, it is the port's offset from firstPort. It
// starts at a random value, as other test processes choose ports at the same time.
var portOffset = newPortOffset()

// newPortOffset returns a counter with a random value below portCount.
func newPortOffset() *atomic.Uint32 {
	counter := &atomic.Uint32{}
	counter.Store(rand.Uint32N(portCount))
	return counter
}

// FreeAddress returns a loopback address with a port on which nothing listens now. Each call returns another port,
// until all ports of the range have been used once.
func FreeAddress() (string, error) {
	var err error
	for range portCount {
		port := firstPort + portOffset.Add(1)%portCount
		var listener net.Listener
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return "", fmt.Errorf("find a free port from %d to %d: %w", firstPort, firstPort+portCount-1, err)
}
