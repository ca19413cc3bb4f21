// Package adviser keeps track of the instances that make advice calls for the owner, one call at a time each.
package adviser
