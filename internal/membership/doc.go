// Package membership contains the endpoint list in the form in which discovery sends it. It parses and validates the
// list, and maps its JSON keys to the names used in the code. The package has no state and starts no goroutine.
package membership
