package config

import (
	"maps"
	"slices"
	"strconv"
)

// missingList stands, in the path of a missing key, for a list that another value has replaced.
const missingList = "its list"

// CheckReload returns a *MissingKeyError for a key that the configuration file in use has and the next one lacks:
// a default in its place could break a rule.
func (c *Config) CheckReload(next *Config) error {
	if key := missingKey(c.document, next.document); key != "" {
		return &MissingKeyError{Key: key}
	}
	return nil
}

// missingKey returns the path of a key that current has and next lacks; empty: there is none.
func missingKey(current, next any) string {
	switch current := current.(type) {
	case map[string]any:
		return missingKeyInObject(current, next)
	case []any:
		return missingKeyInList(current, next)
	}
	return ""
}

// missingKeyInObject compares an object with the value that takes its place, key by key in sorted order.
func missingKeyInObject(current map[string]any, next any) string {
	nextObject, isObject := next.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(current)) {
		if !isObject {
			return key
		}
		if current[key] != nil && nextObject[key] == nil {
			return key
		}
		if missing := missingKey(current[key], nextObject[key]); missing != "" {
			return key + "." + missing
		}
	}
	return ""
}

// missingKeyInList compares a list with the value that takes its place. The entries may be others now: each must have the
// keys that all entries of the current list have.
func missingKeyInList(current []any, next any) string {
	nextList, isList := next.([]any)
	if !isList {
		return missingList
	}
	required := commonKeys(current)
	for i, entry := range nextList {
		if missing := missingKeyInObject(required, entry); missing != "" {
			return strconv.Itoa(i) + "." + missing
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have, with the values of the first entry.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, entry := range list {
		fields, _ := entry.(map[string]any)
		if common == nil {
			common = maps.Clone(fields)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return fields[key] == nil })
	}
	return common
}
