package config

import (
	"maps"
	"slices"
	"strconv"
)

// missingList is the last element of the path that is reported if the file in use has a list where the next file has
// another type of value.
const missingList = "[]"

// CheckReload returns a *MissingKeyError if the configuration file in use has a key that the next one lacks. Such a
// file is rejected because the default value of the key could break a rule of the deployment.
func (c *Config) CheckReload(next *Config) error {
	if key := missingKey(c.document, next.document); key != "" {
		return &MissingKeyError{Key: key}
	}
	return nil
}

// missingKey returns the path of a key that current has and next lacks, or an empty string if there is none.
func missingKey(current, next any) string {
	switch current := current.(type) {
	case map[string]any:
		return missingKeyInObject(current, next)
	case []any:
		return missingKeyInList(current, next)
	}
	return ""
}

// missingKeyInObject is missingKey for an object and the value that replaces it. It visits the keys in sorted order.
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

// missingKeyInList is missingKey for a list and the value that replaces it. Entries are not compared by their position:
// each new entry must have the keys that all entries of the current list have.
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
