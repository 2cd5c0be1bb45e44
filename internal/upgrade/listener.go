package upgrade

import (
	"errors"
	"net"
	"os"
	"syscall"

	"cindersaddle/internal/socket"
)

// descriptorBytes is the size of a file descriptor in a control message, in bytes.
const descriptorBytes = 4

// sendListener sends the version and the file descriptor of the listener over a Unix socket. Both processes then
// accept connections from the same queue, so that no connection is lost when the predecessor stops. With a separate
// listener for each process, closing one would lose the connections whose handshake is in progress. If the descriptor
// cannot be sent, only the version is sent.
func sendListener(conn *net.UnixConn, listener net.Listener) error {
	err := errors.ErrUnsupported // stays if the listener has no descriptor, because the function is not called
	socket.Control(listener, func(descriptor uintptr) {
		err = sendVersion(conn, syscall.UnixRights(int(descriptor)))
	})
	if err != nil {
		return sendVersion(conn, nil)
	}
	return nil
}

// sendVersion sends the version of the state together with a control message, which may be empty.
func sendVersion(conn *net.UnixConn, control []byte) error {
	_, _, err := conn.WriteMsgUnix([]byte{StateVersion}, control, nil)
	return err
}

// receiveListener checks the predecessor's version and returns the listener that it shares. The listener is nil if the
// predecessor does not share one for the client address.
func receiveListener(conn *net.UnixConn, clientAddress string) (net.Listener, error) {
	var version [1]byte
	control := make([]byte, syscall.CmsgSpace(descriptorBytes))
	_, n, _, _, err := conn.ReadMsgUnix(version[:], control)
	if err != nil {
		return nil, err
	}
	if version[0] != StateVersion {
		return nil, &VersionError{Version: int(version[0])}
	}
	descriptor, ok := parseDescriptor(control[:n])
	if !ok {
		return nil, nil
	}
	return listenerFromDescriptor(descriptor, clientAddress), nil
}

// parseDescriptor returns the file descriptor in a control message. ok is false if there is none.
func parseDescriptor(control []byte) (descriptor int, ok bool) {
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

// listenerFromDescriptor returns a listener for a file descriptor, or nil if the descriptor does not listen on the
// client address. It closes the descriptor.
func listenerFromDescriptor(descriptor int, clientAddress string) net.Listener {
	file := os.NewFile(uintptr(descriptor), "listener")
	defer file.Close() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil
	}
	if listener.Addr().String() != clientAddress {
		listener.Close()
		return nil
	}
	return listener
}
