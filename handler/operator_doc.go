// Package handler holds the thin HTTP handlers of the daemon.
package handler
