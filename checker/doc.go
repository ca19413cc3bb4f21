// Package checker checks a configuration before operators write it to the store, and compares it with the version in force.
// It is pure and knows no names on the wire: the reader of the file gives each value its place in the file.
package checker
