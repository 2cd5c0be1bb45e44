// Package downstream serves the clients of the sidecar. It accepts their connections, reads and validates requests,
// passes them to a RequestHandler, writes the responses, and closes the connections at shutdown.
//
// # Shutdown
//
// A shutdown begins when ServiceState.ShuttingDown is set. From then on, each connection is closed after its next
// response. The shutdown then proceeds in this order:
//
//  1. Shutdown keeps accepting connections for a while, because clients may not know yet that the process is stopping.
//     ShutdownAfterUpgrade skips this step, because the successor accepts connections on the same address.
//  2. Listener.Drain accepts the connections in the listen queue and closes the listener.
//  3. After an upgrade, clients may keep using their connections until ShutdownTimes.LateAfter.
//  4. Idle connections are closed until no connection is open or the shutdown's time limit is reached.
//  5. After the time limit, connections without a complete request are closed, and the shutdown waits for streamed
//     responses.
//
// # Connections and responses
//
// A connection is active from when net/http has parsed the head of a request until the response is complete. It is new
// before its first request and idle between two requests, and inactive in both cases; part of a request may already
// have arrived. A client or a connection is silent while no byte arrives from it, also during a request.
//
// A streamed response is one whose body is an exchange.Download: it is copied to the client while it arrives.
//
// # State
//
// Listener owns the listening socket, ConnTracker the set of open connections, Conn the read state of one connection,
// and Server the handling of requests. ConnTracker.mu guards the set of connections and the queue that each one is in;
// Conn.readMu guards the read state of that connection. Code that needs both locks ConnTracker.mu first.
//
// # Goroutines
//
// The package starts no goroutines. It runs in the goroutines of net/http: one accepts connections through
// Listener.Accept, one per connection reads and serves its requests, and one more per request that is being served
// detects when the client closes the connection. The goroutines of upstream attempts call Conn.CheckClientDisconnected
// and Conn.MarkAwaitingResponse. The goroutine that shuts down the process calls Shutdown or ShutdownAfterUpgrade.
package downstream
