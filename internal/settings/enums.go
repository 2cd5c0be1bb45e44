package settings

import "cindersaddle/balance"

// Enumerated values that the code refers to by name.
const (
	discoveryAutomatic = "automatic"
	// discoverySubscribe means that discovery sends changes of the endpoint list only to an instance that subscribes
	// or polls. It sets balance.Config.PolledDiscovery, so that the balancer requests the list.
	discoverySubscribe   = "subscribe"
	effectIdempotencyKey = "idempotency_key"
)

// idempotencies maps the values of a class's key effect.
var idempotencies = map[string]balance.Idempotency{
	"read_like":          balance.Idempotent,
	effectIdempotencyKey: balance.IdempotencyKey,
	"non_idempotent":     balance.NonIdempotent,
}

// dedupScopes maps the values of a class's key group.
var dedupScopes = map[string]balance.DedupScope{
	"":     balance.DedupAll,
	"all":  balance.DedupAll,
	"zone": balance.DedupZone,
	"cell": balance.DedupCell,
}

// loadReportModes maps the values of report.via.
var loadReportModes = map[string]balance.LoadReportMode{
	"":          balance.LoadReportsNone,
	"silent":    balance.LoadReportsNone,
	"piggyback": balance.LoadReportsPiggybacked,
	"pull":      balance.LoadReportsPolled,
}

// loadFieldsByName maps the names in report.fields. The names that later versions add are not in it and map to
// balance.LoadFieldUnknown, the zero value.
var loadFieldsByName = map[string]balance.LoadField{
	"rif":       balance.LoadFieldInFlight,
	"q":         balance.LoadFieldQueue,
	"busy":      balance.LoadFieldUtilization,
	"lat_ms":    balance.LoadFieldLatency,
	"rate":      balance.LoadFieldRate,
	"fail_rate": balance.LoadFieldErrorRate,
}
