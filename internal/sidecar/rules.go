package sidecar

import "cedararch/balance"

// rules are the settings that a request is read and taken under. A new configuration puts others in their place;
// what came before keeps its own.
type rules struct {
	classes    map[string]int
	names      []string
	list       []balance.Class
	lanes      []*lane // by class
	tenants    map[string]int
	tenantList []string
	attempts   int
}

func newRules(cfg *Config, f *figures) *rules {
	r := &rules{
		classes: cfg.classes, names: cfg.classNames, list: cfg.Balance.Classes,
		tenants: cfg.tenants, tenantList: cfg.tenantNames, attempts: cfg.Balance.MaxAttempts,
	}
	for _, name := range r.names {
		r.lanes = append(r.lanes, f.lane(name))
	}
	f.trim(r.lanes)
	return r
}

// places tells for each of the names where it was in another table, or -1.
func places(names []string, before map[string]int) []int {
	at := make([]int, len(names))
	for i, name := range names {
		at[i] = -1
		if from, ok := before[name]; ok {
			at[i] = from
		}
	}
	return at
}

// translate puts a request that was read under older rules into terms of the present ones.
func (r *rules) translate(old *rules, req *balance.Request) {
	if old == r {
		return
	}
	req.Under, req.Attempts = &old.list[req.Class], old.attempts
	if tenant, ok := r.tenants[tenantName(old, req.Tenant)]; ok {
		req.Tenant = tenant
	} else {
		req.Tenant = len(r.tenantList)
	}
}

func tenantName(r *rules, i int) string {
	if i < len(r.tenantList) {
		return r.tenantList[i]
	}
	return ""
}
