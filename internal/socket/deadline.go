package socket

import "time"

// PastDeadline is a deadline that has passed. Set on a connection or a listener, it interrupts all that wait there for
// reading, writing or accepting.
var PastDeadline = time.Unix(1, 0)
