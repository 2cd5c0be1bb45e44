package standin

import (
	"fmt"
	"net"
)

// FreeAddress returns an address of the loopback interface at which nothing listens now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
