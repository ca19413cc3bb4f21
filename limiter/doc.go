// Package limiter decides how many connections an owner opens to a backend server, which of them stay open between calls,
// and which call gets the next one. A server accepts a limited number of connections, and keeps those of an instance that has
// lost power, because nothing tells it that they are gone.
package limiter
