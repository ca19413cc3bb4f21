// Package connector connects the owner of a shard to the backend servers, within the limits of package limiter. A term of an owner has a Pool; a
// call reserves a connection, and Transport sends it on the reserved one. The end of the term closes all connections.
package connector
