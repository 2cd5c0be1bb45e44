package wire

import "cindersaddle/balance"

// Codes of the records that the simulator sends.
const (
	recordCodeServerTable       = 1000
	recordCodeRequest           = 1010
	recordCodeTimerFired        = 1020
	recordCodeStreamStarted     = 1030
	recordCodeEndpointUpdate    = 1040
	recordCodePeerMessage       = 1050 // a message from another instance; ignored
	recordCodeInstanceStopped   = 1060
	recordCodeInstanceStarted   = 1070
	recordCodeHealthCheckResult = 1080
	recordCodeAttemptEnded      = 1090
	recordCodeClientGone        = 1100
)

// Codes of the actions that are sent to the simulator.
const (
	actionCodeSendAttempt    = 1000
	actionCodeRejectRequest  = 1010
	actionCodeFailRequest    = 1020
	actionCodeCancelAttempt  = 1030
	actionCodeSetTimer       = 1040
	actionCodeCheckHealth    = 1050
	actionCodeLog            = 1080
	actionCodeFault          = 1090
	actionCodeWatchEndpoints = 1100
)

// Bits of the flags of a request.
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
