// Package membership holds the list of endpoints as discovery sends it: it parses it, validates it, and maps the names
// of its JSON keys to the terms of the code. The package keeps no state and starts no goroutines.
package membership
