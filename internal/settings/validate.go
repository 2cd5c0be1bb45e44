package settings

import (
	"errors"
	"fmt"
	"math"
)

// Reasons of a KeyError.
var (
	errNoClasses      = errors.New("no classes")
	errNotPositive    = errors.New("want a number above 0")
	errNegative       = errors.New("want 0 or more")
	errNotFraction    = errors.New("want 0 to 1")
	errNotAttempts    = errors.New("want a whole number, 1 or more")
	errUnknownWord    = errors.New("unknown word")
	errWindowMissing  = errors.New("missing, although effect is idempotency_key")
	errOverloadAbsent = errors.New("set without rules.fall_multiple or rules.fall_ms")
)

// KeyError reports a key of the settings document that has no usable value.
type KeyError struct {
	Key   string // path in the document, such as rules.cold_ms
	Value any    // as in the document; nil: no value
	Err   error
}

// Error names the key, its value and the reason.
func (e *KeyError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("settings: %s: %v", e.Key, e.Err)
	}
	if word, isWord := e.Value.(string); isWord {
		return fmt.Sprintf("settings: %s is %q: %v", e.Key, word, e.Err)
	}
	return fmt.Sprintf("settings: %s is %v: %v", e.Key, e.Value, e.Err)
}

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// number is a key of the document with its value, or with the default.
type number struct {
	key   string
	value float64
}

// validate rejects what no deployment can mean: a silent default in its place could break a rule.
func (d *document) validate() error {
	checks := []func() error{
		d.validateWords,
		d.validateClasses,
		d.validateNumbers,
		d.validateWarmUp,
		d.validateMaxAttempts,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateWords checks the words outside the classes. Any word for the ratings is valid: each endpoint of the
// list says its rating itself.
func (d *document) validateWords() error {
	switch d.Discovery {
	case "", discoveryAutomatic, discoverySubscribe:
	default:
		return &KeyError{Key: "discovery", Value: d.Discovery, Err: errUnknownWord}
	}
	if _, known := loadReportModes[d.Report.Mode]; !known {
		return &KeyError{Key: "report.via", Value: d.Report.Mode, Err: errUnknownWord}
	}
	return nil
}

// validateNumbers checks the numbers outside the classes that must not be negative.
func (d *document) validateNumbers() error {
	rules, limits := &d.Rules, &d.Limits
	return validateNotNegative("", []number{
		{"rules.answer_slack_ms", float64(rules.AnswerGrace)},
		{"rules.ask_within_ms", float64(rules.MaxPollInterval)},
		{"rules.cold_ms", float64(rules.WarmUpDuration)},
		{"rules.drain_grace_ms", float64(rules.DrainGrace)},
		{"rules.fall_ms", float64(rules.OverloadWindow)},
		{"rules.fall_multiple", rules.OverloadFactor},
		{"limits.connect_timeout_ms", float64(limits.ConnectTimeout)},
		{"limits.conn_idle_ms", float64(limits.ConnIdleTimeout)},
		{"limits.max_retry_after_ms", float64(limits.MaxRetryAfter)},
		{"limits.open_cap", float64(limits.MaxOpenRequests)},
		{"quantum_ms", float64(d.Quantum)},
		{"over_share_worth", valueOr(d.OverQuotaWeight, defaultOverQuotaWeight)},
		{"zone", float64(d.Zone)},
	})
}

// validateNotNegative checks numbers whose keys have the prefix.
func validateNotNegative(prefix string, numbers []number) error {
	for _, number := range numbers {
		if number.value < 0 {
			return &KeyError{Key: prefix + number.key, Value: number.value, Err: errNegative}
		}
	}
	return nil
}

// validateWarmUp checks the rules of the warm-up, which need those of overload: they say when an endpoint that warms up
// fails.
func (d *document) validateWarmUp() error {
	rules := &d.Rules
	fraction := valueOr(rules.WarmUpFraction, defaultWarmUpFraction)
	if fraction < 0 || fraction > 1 {
		return &KeyError{Key: "rules.cold_from", Value: fraction, Err: errNotFraction}
	}
	overloadUnset := rules.OverloadFactor == 0 || rules.OverloadWindow == 0
	if rules.WarmUpDuration > 0 && overloadUnset {
		return &KeyError{Key: "rules.cold_ms", Value: rules.WarmUpDuration, Err: errOverloadAbsent}
	}
	return nil
}

// validateMaxAttempts checks that the limit of attempts is a whole number.
func (d *document) validateMaxAttempts() error {
	attempts := valueOr(d.Limits.MaxAttempts, defaultMaxAttempts)
	if attempts < 1 || attempts != math.Trunc(attempts) || attempts > math.MaxInt32 {
		return &KeyError{Key: "limits.max_attempts", Value: attempts, Err: errNotAttempts}
	}
	return nil
}

// validateClasses checks all classes, of which there must be one at least.
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

// validate checks one class, whose keys have the prefix.
func (c *classDocument) validate(prefix string) error {
	if _, known := idempotencies[c.Effect]; !known {
		return &KeyError{Key: prefix + "effect", Value: c.Effect, Err: errUnknownWord}
	}
	if _, known := dedupScopes[c.DedupScope]; !known {
		return &KeyError{Key: prefix + "group", Value: c.DedupScope, Err: errUnknownWord}
	}
	if c.Deadline <= 0 {
		return &KeyError{Key: prefix + "hard_limit_ms", Value: c.Deadline, Err: errNotPositive}
	}
	err := validateNotNegative(prefix, []number{
		{"on_time_ms", float64(c.LatencyObjective)},
		{"window_ms", float64(valueOr(c.DedupWindow, 0))},
		{"worth", valueOr(c.PriorityWeight, defaultPriorityWeight)},
		{"late_worth", c.LateWeight},
		{"aim_stretch", c.ObjectiveStretch},
	})
	if err != nil {
		return err
	}
	if c.Effect == effectIdempotencyKey && c.DedupWindow == nil {
		return &KeyError{Key: prefix + "window_ms", Err: errWindowMissing}
	}
	return nil
}
