// Package downstream implements the side of the sidecar that the application connects to: it accepts connections, reads
// and validates requests, hands them to a RequestHandler, writes the responses, and closes the connections at shutdown.
//
// # Shutdown
//
// A shutdown begins when ServiceState.ShuttingDown is set: from then on each connection ends with its next response. Then,
// one step after the other:
//
//  1. Shutdown goes on accepting connections for a time, as clients may not yet know that the process ends.
//     ShutdownAfterUpgrade leaves out this step: the successor accepts from the same listen queue.
//  2. Listener.Drain accepts the connections that wait in the listen queue and closes the listener.
//  3. After an upgrade, clients go on using their connections until ShutdownTimes.LateAfter.
//  4. Connections without a request are closed as soon as they are idle, until none is open or the limit of the shutdown
//     has passed.
//  5. After the limit, connections without a complete request are closed, and streamed responses are waited for.
//
// # State
//
// Listener owns the listening socket, ConnTracker the set of open connections, Conn the read state of one connection,
// and Server the handling of requests. ConnTracker.mu guards the set and the queue membership of each connection;
// Conn.readMu guards the read state of that connection. Where both are locked, ConnTracker.mu is first.
//
// # Goroutines
//
// The package starts no goroutines of its own. It runs in those of net/http: one accepts connections through
// Listener.Accept, one for each connection reads and serves its requests, and one more for each request that is being
// served watches the connection for its end. The goroutines of upstream attempts call Conn.CheckClientDisconnected and
// Conn.MarkAwaitingResponse. The goroutine that shuts the process down calls Shutdown or ShutdownAfterUpgrade.
package downstream
