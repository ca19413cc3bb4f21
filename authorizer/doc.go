// Package authorizer decides whether a call with a key is accepted, from the teams of the newest known configuration and from how
// long ago that configuration was shown to be the newest.
package authorizer
