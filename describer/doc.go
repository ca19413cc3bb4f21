// Package describer defines the identifiers and immutable values that the other packages share.
package describer
