package config

import (
	"encoding/json"
	"errors"
	"slices"
)

// Errors of the names in the settings document.
var (
	errEmptyName     = errors.New("a class or tenant without name")
	errDuplicateName = errors.New("two classes or tenants of the same name")
)

// namesDocument is the part of the settings document that gives names to what package balance numbers.
type namesDocument struct {
	Classes      []namedEntry `json:"classes"`
	Tenants      []namedEntry `json:"tenants"`
	Zones        []string     `json:"zones"`
	MachineTypes []string     `json:"kinds"`
	Report       struct {
		Fields []string `json:"fields"`
	} `json:"report"`
}

// namedEntry is a class or tenant, known by its name to clients and by its index to package balance.
type namedEntry struct {
	Name string `json:"name"`
}

// addNames reads the names that clients, endpoints and discovery use for what package balance numbers.
func (c *Config) addNames(settings []byte) error {
	var document namesDocument
	if err := json.Unmarshal(settings, &document); err != nil {
		return &KeyError{Key: keySettings, Err: err}
	}
	c.ClassNames = entryNames(document.Classes)
	c.ClassIndex = IndexByName(c.ClassNames)
	c.TenantNames = entryNames(document.Tenants)
	c.TenantIndex = IndexByName(c.TenantNames)
	c.ZoneIndex = IndexByName(document.Zones)
	c.MachineTypeIndex = IndexByName(document.MachineTypes)
	c.LoadReportFields = document.Report.Fields
	return c.validateNames()
}

// validateNames checks that each class and each tenant has a name of its own.
func (c *Config) validateNames() error {
	if slices.Contains(c.ClassNames, "") || slices.Contains(c.TenantNames, "") {
		return &KeyError{Key: keySettings, Err: errEmptyName}
	}
	if len(c.ClassIndex) != len(c.ClassNames) || len(c.TenantIndex) != len(c.TenantNames) {
		return &KeyError{Key: keySettings, Err: errDuplicateName}
	}
	return nil
}

// entryNames returns the names of entries, in their order.
func entryNames(entries []namedEntry) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
	}
	return names
}

// IndexByName returns the index of each name; of equal names the last counts.
func IndexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
