// Package demonstrator runs a whole cell in one process over loopback sockets, with stand-ins for the platform, the
// backend servers and the callers, and breaks parts of it.
package demonstrator
