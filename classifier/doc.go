// Package classifier defines the closed list of error kinds, and the response to a caller or operator for each kind.
package classifier
