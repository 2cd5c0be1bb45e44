package sidecartest

import "strings"

// LongBody is a body that the sidecar streams, as it is too long to be buffered completely.
var LongBody = strings.Repeat("0123456789abcdef", 1<<16) // 1 MiB
