package wire

import "cindersaddle/balance"

// Codes of the records that the simulator sends.
const (
	codeServerTable       = 1000
	codeRequest           = 1010
	codeTimerFired        = 1020
	codeStreamStarted     = 1030
	codeEndpointUpdate    = 1040
	codePeerMessage       = 1050 // sent by another instance; ignored
	codeInstanceStopped   = 1060
	codeInstanceStarted   = 1070
	codeHealthCheckResult = 1080
	codeAttemptEnded      = 1090
	codeClientGone        = 1100
)

// Codes of the actions that are sent to the simulator.
const (
	codeSendAttempt    = 1000
	codeRejectRequest  = 1010
	codeFailRequest    = 1020
	codeCancelAttempt  = 1030
	codeSetTimer       = 1040
	codeCheckHealth    = 1050
	codeLog            = 1080
	codeFault          = 1090
	codeWatchEndpoints = 1100
)

// Flags of a request, as bits.
const (
	flagHasWorkHint = 1 << iota
	flagClientRetry
	flagWrite
)

// kindCodeFailed is the code of balance.UpdateFailed, the only kind of endpoint update without a server table.
const kindCodeFailed = 2

// updateKindsByCode maps the codes of the kinds of endpoint updates.
var updateKindsByCode = map[uint8]balance.UpdateKind{
	0:              balance.UpdateSnapshot,
	1:              balance.UpdateCachedSnapshot,
	kindCodeFailed: balance.UpdateFailed,
	3:              balance.UpdateDelta,
}

// endpointStatesByCode maps the codes of the states in a server table.
var endpointStatesByCode = map[uint8]balance.EndpointState{
	0: balance.Ready,
	1: balance.Gone,
	2: balance.Draining,
}

// resultsByCode maps the codes of the results of attempts and health checks.
var resultsByCode = map[uint16]balance.Result{
	0:  balance.OK,
	1:  balance.Cancelled,
	4:  balance.TimedOut,
	8:  balance.Rejected,
	9:  balance.NotAttempted,
	10: balance.ConnReset,
	13: balance.ServerError,
	14: balance.ConnectFailed,
}
