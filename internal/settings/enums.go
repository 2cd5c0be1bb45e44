package settings

import "cindersaddle/balance"

// Enumerated values that the code refers to by name.
const (
	discoveryAutomatic = "automatic"
	// discoverySubscribe means that discovery sends changes of the endpoint list only to an instance that subscribes
	// or polls. It sets balance.Config.PolledDiscovery, so that the balancer polls the list.
	discoverySubscribe = "subscribe"
	idempotencyKeyName = "idempotency_key"
)

// idempotenciesByName maps the values of the key effect of a class.
var idempotenciesByName = map[string]balance.Idempotency{
	"read_like":        balance.Idempotent,
	idempotencyKeyName: balance.IdempotencyKey,
	"non_idempotent":   balance.NonIdempotent,
}

// dedupScopesByName maps the values of the key group of a class.
var dedupScopesByName = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"cell": balance.DedupCell,
}

// loadReportModesByName maps the values of report.via.
var loadReportModesByName = map[string]balance.LoadReportMode{
	"":          balance.LoadReportsNone,
	"silent":    balance.LoadReportsNone,
	"piggyback": balance.LoadReportsPiggybacked,
	"pull":      balance.LoadReportsPolled,
}

// loadFieldsByName maps the names in report.fields. A name that is not listed, such as one that a later version adds,
// maps to the zero value, balance.LoadFieldUnknown.
var loadFieldsByName = map[string]balance.LoadField{
	"rif":       balance.LoadFieldInFlight,
	"q":         balance.LoadFieldQueue,
	"busy":      balance.LoadFieldUtilization,
	"lat_ms":    balance.LoadFieldLatency,
	"rate":      balance.LoadFieldRate,
	"fail_rate": balance.LoadFieldErrorRate,
}
