// Package adviser tracks the instances that make calls to the advice service on behalf of the owner, each at most one
// at a time.
package adviser
