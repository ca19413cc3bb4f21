// Package classifier holds the closed list of error kinds and the table from each kind to its answer.
package classifier
