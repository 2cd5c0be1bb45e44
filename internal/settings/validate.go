package settings

import (
	"errors"
	"fmt"
	"math"
)

// Reasons in a KeyError. The adapter writes these texts into fault records, so they must not change.
var (
	errNoClasses             = errors.New("no classes")
	errNotPositive           = errors.New("want a number above 0")
	errNegative              = errors.New("want 0 or more")
	errNotFraction           = errors.New("want 0 to 1")
	errInvalidMaxAttempts    = errors.New("want a whole number, 1 or more")
	errUnknownWord           = errors.New("unknown word")
	errDedupWindowRequired   = errors.New("missing, although effect is idempotency_key")
	errOverloadRulesRequired = errors.New("set without rules.fall_multiple or rules.fall_ms")
)

// KeyError reports a key of the settings document whose value is invalid or missing.
type KeyError struct {
	Key   string // path in the document, such as rules.cold_ms or classes.0.effect
	Value any    // the value received; nil: missing or empty
	Err   error  // the reason
}

// Error implements error. It names the key, its value and the reason.
func (e *KeyError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("settings: %s: %v", e.Key, e.Err)
	}
	if text, isString := e.Value.(string); isString {
		return fmt.Sprintf("settings: %s is %q: %v", e.Key, text, e.Err)
	}
	return fmt.Sprintf("settings: %s is %v: %v", e.Key, e.Value, e.Err)
}

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// numericKey is a key with a numeric value.
type numericKey struct {
	key   string
	value float64 // the value in the document, or the default of a missing key
}

// validate returns an error for a value that makes no sense in any deployment. Silently replacing such a value with a
// default could break a rule of the deployment.
func (d *document) validate() error {
	validators := []func() error{
		d.validateEnums,
		d.validateClasses,
		d.validateNumbers,
		d.validateSlowStart,
		d.validateMaxAttempts,
	}
	for _, validate := range validators {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

// validateEnums checks the enumerated values outside the classes. Any value of the key weights is valid, because the
// ratings of endpoints come from the endpoint list.
func (d *document) validateEnums() error {
	switch d.Discovery {
	case "", discoveryAutomatic, discoverySubscribe:
	default:
		return &KeyError{Key: "discovery", Value: d.Discovery, Err: errUnknownWord}
	}
	if _, known := loadReportModesByName[d.LoadReports.Mode]; !known {
		return &KeyError{Key: "report.via", Value: d.LoadReports.Mode, Err: errUnknownWord}
	}
	return nil
}

// validateNumbers checks that numbers outside the classes are not negative.
func (d *document) validateNumbers() error {
	rules, limits := &d.Rules, &d.Limits
	return validateNotNegative("", []numericKey{
		{"rules.answer_slack_ms", float64(rules.ResponseGrace)},
		{"rules.ask_within_ms", float64(rules.MaxPollInterval)},
		{"rules.cold_ms", float64(rules.SlowStartDuration)},
		{"rules.drain_grace_ms", float64(rules.DrainGrace)},
		{"rules.fall_ms", float64(rules.SlowStartOverloadWindow)},
		{"rules.fall_multiple", rules.SlowStartOverloadFactor},
		{"limits.connect_timeout_ms", float64(limits.ConnectTimeout)},
		{"limits.conn_idle_ms", float64(limits.ConnIdleTimeout)},
		{"limits.max_retry_after_ms", float64(limits.MaxRetryAfter)},
		{"limits.open_cap", float64(limits.MaxOpenRequests)},
		{"quantum_ms", float64(d.MinBatchInterval)},
		{"over_share_worth", valueOrDefault(d.OverQuotaWeight, defaultOverQuotaWeight)},
		{"zone", float64(d.Zone)},
	})
}

// validateNotNegative returns an error for the first negative number. Its KeyError.Key is prefix followed by the key.
func validateNotNegative(prefix string, numbers []numericKey) error {
	for _, n := range numbers {
		if n.value < 0 {
			return &KeyError{Key: prefix + n.key, Value: n.value, Err: errNegative}
		}
	}
	return nil
}

// validateSlowStart checks the rules of slow start. A slow start requires the overload rules, which say at what load an
// endpoint in slow start fails.
func (d *document) validateSlowStart() error {
	rules := &d.Rules
	fraction := valueOrDefault(rules.SlowStartInitialFraction, defaultSlowStartInitialFraction)
	if fraction < 0 || fraction > 1 {
		return &KeyError{Key: "rules.cold_from", Value: fraction, Err: errNotFraction}
	}
	overloadRulesUnset := rules.SlowStartOverloadFactor == 0 || rules.SlowStartOverloadWindow == 0
	if rules.SlowStartDuration > 0 && overloadRulesUnset {
		return &KeyError{Key: "rules.cold_ms", Value: rules.SlowStartDuration, Err: errOverloadRulesRequired}
	}
	return nil
}

// validateMaxAttempts checks that the limit on attempts is a whole number from 1 to math.MaxInt32.
func (d *document) validateMaxAttempts() error {
	attempts := valueOrDefault(d.Limits.MaxAttempts, defaultMaxAttempts)
	if attempts < 1 || attempts != math.Trunc(attempts) || attempts > math.MaxInt32 {
		return &KeyError{Key: "limits.max_attempts", Value: attempts, Err: errInvalidMaxAttempts}
	}
	return nil
}

// validateClasses checks that there is at least one class, and that all classes are valid.
func (d *document) validateClasses() error {
	if len(d.Classes) == 0 {
		return &KeyError{Key: "classes", Err: errNoClasses}
	}
	for i := range d.Classes {
		if err := d.Classes[i].validate(fmt.Sprintf("classes.%d.", i)); err != nil {
			return err
		}
	}
	return nil
}

// validate checks a class. In its errors, KeyError.Key is prefix followed by the key.
func (c *classDocument) validate(prefix string) error {
	if _, known := idempotenciesByName[c.Idempotency]; !known {
		return &KeyError{Key: prefix + "effect", Value: c.Idempotency, Err: errUnknownWord}
	}
	if _, known := dedupScopesByName[c.DedupScope]; !known {
		return &KeyError{Key: prefix + "group", Value: c.DedupScope, Err: errUnknownWord}
	}
	if c.Deadline <= 0 {
		return &KeyError{Key: prefix + "hard_limit_ms", Value: c.Deadline, Err: errNotPositive}
	}
	err := validateNotNegative(prefix, []numericKey{
		{"on_time_ms", float64(c.LatencyObjective)},
		{"window_ms", float64(valueOrDefault(c.DedupWindow, 0))},
		{"worth", valueOrDefault(c.PriorityWeight, defaultPriorityWeight)},
		{"late_worth", c.LateWeight},
		{"aim_stretch", c.ObjectiveStretch},
	})
	if err != nil {
		return err
	}
	if c.Idempotency == idempotencyKeyName && c.DedupWindow == nil {
		return &KeyError{Key: prefix + "window_ms", Err: errDedupWindowRequired}
	}
	return nil
}
