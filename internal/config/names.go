package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Reasons in a KeyError for the names in the settings document.
var (
	errEmptyName     = errors.New("every class and tenant must have a name")
	errDuplicateName = errors.New("the names of classes and the names of tenants must be unique")
)

// namesDocument holds the names in the settings document. Package balance uses numbers in their place.
type namesDocument struct {
	Classes      []namedEntry `json:"classes"`
	Tenants      []namedEntry `json:"tenants"`
	Zones        []string     `json:"zones"`
	MachineTypes []string     `json:"kinds"`
	LoadReports  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
}

// namedEntry is a class or tenant. Clients refer to it by name, package balance by its index.
type namedEntry struct {
	Name string `json:"name"`
}

// applyNames sets the fields that hold the names from the settings document and their indexes in package balance. The
// names are used by clients, endpoints and discovery.
func (c *Config) applyNames(settings []byte) error {
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
	c.LoadReportFields = document.LoadReports.Fields
	return c.validateNames()
}

// validateNames checks that each class and each tenant has a unique name.
func (c *Config) validateNames() error {
	if slices.Contains(c.ClassNames, "") || slices.Contains(c.TenantNames, "") {
		return &KeyError{Key: keySettings, Err: c.nameError(errEmptyName)}
	}
	if len(c.ClassIndex) != len(c.ClassNames) || len(c.TenantIndex) != len(c.TenantNames) {
		return &KeyError{Key: keySettings, Err: c.nameError(errDuplicateName)}
	}
	return nil
}

// nameError returns reason with the names that were received.
func (c *Config) nameError(reason error) error {
	return fmt.Errorf("%w: got classes %q and tenants %q", reason, c.ClassNames, c.TenantNames)
}

// entryNames returns the names of entries in the same order.
func entryNames(entries []namedEntry) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
	}
	return names
}

// IndexByName returns a map from each name to its index. If a name occurs more than once, its last index is used.
func IndexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}
