// Package queuer holds waiting work in a queue per class, service and kind, and decides which item is served next.
package queuer
