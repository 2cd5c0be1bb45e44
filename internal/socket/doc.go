// Package socket makes the system calls on TCP sockets that net does not offer, and classifies the errors of those calls.
// Peek reports whether the peer has closed a connection and whether bytes wait to be read. Read, ReadConn and WriteConn
// repeat a call whose error says nothing of the connection.
//
// The package has no state and starts no goroutines; a socket may be examined while another goroutine reads from it.
package socket
