// Package memory limits the bytes that the process holds for its peers.
//
// Each limit on one connection or one request bounds what a single peer can make the process hold, but not the sum over all
// of them. A Budget bounds the sum: the bytes are reserved before they are read, parsed or allocated. What cannot be reserved
// waits unread, is streamed instead of buffered, or gets an error response.
//
// A Reservation belongs to one connection or one request and is released as a whole, so that no way in which a request can end
// leaves bytes reserved. Both types are safe for concurrent use. A nil Budget has no limit.
package memory
