// Package keeper is the client side of the platform's configuration store.
package keeper
