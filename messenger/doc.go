// Package messenger is the jsonrpc2 transport between entry instances: heartbeats, tickets and releases over TCP.
package messenger
