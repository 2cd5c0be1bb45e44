package sidecartest

import "net"

// DisconnectMethods are the ways in which a client can disconnect, by name. They require a *net.TCPConn.
var DisconnectMethods = map[string]func(net.Conn){
	"close":      func(conn net.Conn) { conn.Close() },
	"half-close": func(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() },
	"reset":      func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
}
