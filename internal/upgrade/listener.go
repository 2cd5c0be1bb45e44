package upgrade

import (
	"errors"
	"net"
	"os"
	"syscall"

	"cindersaddle/internal/socket"
)

// descriptorSize is the size of one descriptor in a control message, in bytes.
const descriptorSize = 4

// sendListener shares a listener over a Unix socket. Both processes then accept connections from one queue: none is
// lost when the predecessor stops, as would be any whose handshake crosses the close of a listener of its own. Where the
// descriptor cannot be sent, the version goes alone.
func sendListener(conn *net.UnixConn, listener net.Listener) error {
	err := errors.ErrUnsupported // of a listener without a descriptor
	socket.Control(listener, func(descriptor uintptr) {
		err = sendVersion(conn, syscall.UnixRights(int(descriptor)))
	})
	if err != nil {
		return sendVersion(conn, nil)
	}
	return nil
}

// sendVersion sends the version together with a control message, which may be empty.
func sendVersion(conn *net.UnixConn, control []byte) error {
	_, _, err := conn.WriteMsgUnix([]byte{StateVersion}, control, nil)
	return err
}

// receiveListener returns the listener that the other side shares, or nil where it shares none for the address listen.
func receiveListener(conn *net.UnixConn, listen string) (net.Listener, error) {
	var version [1]byte
	control := make([]byte, syscall.CmsgSpace(descriptorSize))
	_, n, _, _, err := conn.ReadMsgUnix(version[:], control)
	if err != nil {
		return nil, err
	}
	if version[0] != StateVersion {
		return nil, &VersionError{Version: int(version[0])}
	}
	descriptor, received := parseDescriptor(control[:n])
	if !received {
		return nil, nil
	}
	return listenerOf(descriptor, listen), nil
}

// parseDescriptor returns the descriptor in a control message, if there is one.
func parseDescriptor(control []byte) (descriptor int, received bool) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil || len(messages) == 0 {
		return 0, false
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) == 0 {
		return 0, false
	}
	return descriptors[0], true
}

// listenerOf returns the listener of a descriptor, which it closes, or nil where it does not listen at the address.
func listenerOf(descriptor int, listen string) net.Listener {
	file := os.NewFile(uintptr(descriptor), "listener")
	defer file.Close() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil
	}
	if listener.Addr().String() != listen {
		listener.Close()
		return nil
	}
	return listener
}
