package socket

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"cindersaddle/internal/fault"
)

// ReceiveQueue is the state of the receiving side of a TCP connection.
type ReceiveQueue struct {
	Unread     int    // bytes that have arrived in order and have not been read
	Window     uint32 // bytes that the peer may send, as last announced to it; 0 also if the kernel does not say
	OutOfOrder uint32 // segments so far that have arrived before earlier ones, which the kernel had dropped for lack of room
}

// ReceiveQueueOf returns the state of the receiving side of a TCP connection.
func ReceiveQueueOf(conn syscall.Conn) (queue ReceiveQueue, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return ReceiveQueue{}, fmt.Errorf("read the receive queue: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { queue, err = receiveQueueOf(int(fd)) })
	if controlErr != nil { // this side has closed the connection
		err = controlErr
	}
	if err != nil {
		return ReceiveQueue{}, fmt.Errorf("read the receive queue: %w", err)
	}
	return queue, nil
}

// receiveQueueOf makes the calls for ReceiveQueueOf.
func receiveQueueOf(fd int) (queue ReceiveQueue, err error) {
	if err := fault.InjectedError(fault.ReceiveQueue); err != nil {
		return ReceiveQueue{}, err
	}
	if queue.Unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ); err != nil {
		return ReceiveQueue{}, err
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return ReceiveQueue{}, err
	}
	queue.Window = info.Rcv_wnd
	queue.OutOfOrder = info.Rcv_ooopack
	return queue, nil
}
