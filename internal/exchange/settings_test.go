package exchange

import (
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// TestTranslateKeepsClassAndAttemptsOfEarlierSettings checks a request that is read before the settings are replaced and
// handled after: it keeps its class and its maximum number of attempts, and its tenant is looked up by name.
func TestTranslateKeepsClassAndAttemptsOfEarlierSettings(t *testing.T) {
	cfg := sidecartest.Config(t)
	registry := &metrics.Metrics{}
	previous := NewSettings(cfg, registry)
	current := NewSettings(&config.Config{
		ClassNames:  []string{"other"},
		ClassIndex:  map[string]int{"other": 0},
		TenantNames: []string{"bolt"},
		TenantIndex: map[string]int{"bolt": 0},
		Balance:     balance.Config{Classes: make([]balance.Class, 1), MaxAttempts: 1},
	}, registry)
	for tenant, want := range []int{1, 0} { // tenant 0, acme, is not in the current settings
		req := balance.Request{Class: 2, Tenant: tenant}
		current.Translate(previous, &req)
		if req.ClassOverride != &previous.Classes[2] || req.MaxAttempts != 6 || req.Tenant != want {
			t.Errorf("tenant %d: got %+v, want the class and the 6 attempts of the previous settings, and tenant %d",
				tenant, req, want)
		}
	}
	req := balance.Request{Class: 2}
	previous.Translate(previous, &req)
	if req.ClassOverride != nil {
		t.Errorf("request translated to its own settings: got class override %+v, want none", req.ClassOverride)
	}
}
