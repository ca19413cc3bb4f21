// Package requester is the client of the operators' HTTP API.
package requester
