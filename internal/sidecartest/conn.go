package sidecartest

import (
	"net"
	"testing"
)

// ConnPair opens a loopback TCP connection and returns both sides of it. The client's side is closed at the end of the
// test, the accepted side is not.
func ConnPair(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener := Listen(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { client.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept: %v", err)
	}
	return client, conn.(*net.TCPConn)
}
