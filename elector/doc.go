// Package elector elects the instance that owns the jobs of a cell. The owner holds a key in the store under a lease; the
// key's revision is the owner's epoch, and every write of the owner is conditional on it.
package elector
