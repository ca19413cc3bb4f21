// Package demonstrator runs a whole cell in one process over loopback sockets, with stand-ins for the platform, the
// backend servers and the callers, and injects faults into it.
package demonstrator
