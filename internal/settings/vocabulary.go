package settings

import "cindersaddle/balance"

// Words of the document with a meaning of their own.
const (
	discoveryAutomatic = "automatic"
	// discoverySubscribe: changes of the endpoint list come only to an instance that subscribes to them or polls. The
	// balancer requests the list then: balance.Config.PolledDiscovery.
	discoverySubscribe   = "subscribe"
	effectIdempotencyKey = "idempotency_key"
)

// idempotencies maps the effect of a class.
var idempotencies = map[string]balance.Idempotency{
	"read_like":          balance.Idempotent,
	effectIdempotencyKey: balance.IdempotencyKey,
	"non_idempotent":     balance.NonIdempotent,
}

// dedupScopes maps the group of endpoints that remember a key.
var dedupScopes = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"cell": balance.DedupCell,
}

// loadReportModes maps how load reports come.
var loadReportModes = map[string]balance.LoadReportMode{
	"":          balance.LoadReportsNone,
	"silent":    balance.LoadReportsNone,
	"piggyback": balance.LoadReportsPiggybacked,
	"pull":      balance.LoadReportsPolled,
}

// loadFields lacks the fields of later versions: those become balance.LoadFieldUnknown.
var loadFields = map[string]balance.LoadField{
	"rif":       balance.LoadFieldInFlight,
	"q":         balance.LoadFieldQueue,
	"busy":      balance.LoadFieldUtilization,
	"lat_ms":    balance.LoadFieldLatency,
	"rate":      balance.LoadFieldRate,
	"fail_rate": balance.LoadFieldErrorRate,
}
