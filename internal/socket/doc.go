// Package socket makes system calls on TCP sockets that package net does not provide, and classifies the errors of
// system calls on sockets. Peek reports whether the peer has closed a connection and whether bytes can be read. Read,
// ReadConn and WriteConn repeat a call after an error that does not concern the connection.
//
// The package has no state and starts no goroutines. Peek may be called while another goroutine reads from the socket.
package socket
