// Package socket provides operations on TCP sockets that package net lacks, and classifies the errors of system calls
// on sockets. Peek reports whether a connection is closed and whether bytes can be read. Read, ReadConn and WriteConn
// repeat a call after an error that does not concern the connection.
//
// The package has no state and starts no goroutines. Peek may be called while another goroutine reads from the socket.
package socket
