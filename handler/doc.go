// Package handler holds the thin HTTP handlers of callers' requests and of the operators' API.
package handler
