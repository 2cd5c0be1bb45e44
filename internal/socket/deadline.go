package socket

import "time"

// PastDeadline is a deadline in the past. Setting it on a connection or a listener interrupts all calls that are
// blocked there in a read, a write or an accept.
var PastDeadline = time.Unix(1, 0)
