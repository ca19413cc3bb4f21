// Package server composes the daemon of an entry instance, starts it and drains it.
package server
