// Package handler holds the thin HTTP handlers for callers and operators.
package handler
