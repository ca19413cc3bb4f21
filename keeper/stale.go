package keeper

import "context"

type staleKey struct{}

// AllowStale returns a context in which a store may answer a Get from a state that is seconds old. Such a read costs less, and may
// not count towards a rate limit. It shows that the store serves calls, and nothing about what is stored now.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// IsStaleAllowed reports whether a context comes from AllowStale.
func IsStaleAllowed(ctx context.Context) bool {
	allowed, _ := ctx.Value(staleKey{}).(bool)
	return allowed
}
