// Package wire decodes the simulator's binary frames to events of package balance, and encodes the actions of package
// balance as frames. It makes no decisions.
//
// A frame from the simulator consists of a header (number of records, length of the frame in bytes, clock in
// milliseconds) and records. A record consists of a code, the number of an instance, and fields that depend on the
// code. A frame to the simulator consists of its length in bytes and actions, which also begin with a code and an
// instance. All numbers are big-endian and not padded.
//
// A Reader retains the server tables (numbered lists of endpoints), because later frames refer to them. A Reply holds
// the bytes of one frame to the simulator. Neither starts a goroutine, and each must be used by one goroutine at a
// time.
package wire
