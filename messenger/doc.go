// Package messenger is the JSON-RPC 2.0 transport between entry instances over TCP. It carries heartbeats, releases,
// tickets and reports, and the methods of other packages.
package messenger
