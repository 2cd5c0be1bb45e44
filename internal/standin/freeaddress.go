package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
)

// The ports of FreeAddress are below those that the kernel gives to outgoing connections, from 32768 on by default. It guards
// against a connection that takes the port before the address is used: the listener would fail with "address already in use".
const (
	firstFreePort = 20000
	freePortCount = 10000
)

// portCounter numbers the ports of this process. It starts at random, as other test processes run at the same time.
var portCounter = newPortCounter()

func newPortCounter() *atomic.Uint32 {
	counter := &atomic.Uint32{}
	counter.Store(rand.Uint32N(freePortCount))
	return counter
}

// FreeAddress returns an address of the loopback interface at which nothing listens now, another one with each call.
func FreeAddress() (string, error) {
	var err error
	for range freePortCount {
		port := firstFreePort + portCounter.Add(1)%freePortCount
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
	return "", fmt.Errorf("find a free address: %w", err)
}
