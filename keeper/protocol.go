package keeper

import "time"

// Paths of the store's HTTP protocol. Each call is a POST with a JSON body.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathPut    = "/v1/put"
	PathDelete = "/v1/delete"
	PathGrant  = "/v1/grant"
	PathRenew  = "/v1/renew"
	PathRevoke = "/v1/revoke"
	PathWatch  = "/v1/watch"
)

// Call is the body of every call; each path uses some of the fields.
type Call struct {
	Key        string        `json:",omitempty"`
	Value      []byte        `json:",omitempty"`
	Version    int64         `json:",omitempty"`
	Revision   int64         `json:",omitempty"`
	Lease      LeaseID       `json:",omitempty"`
	TimeToLive time.Duration `json:",omitempty"`
}

// Reply is the body of the response to every call.
type Reply struct {
	// Failure is empty, or the name of the error: Conflict, RateLimited, LeaseLapsed, Compacted, ValueTooLarge or
	// Unavailable.
	Failure string  `json:",omitempty"`
	Entry   Entry   `json:",omitzero"`
	Page    Page    `json:",omitzero"`
	Changes Changes `json:",omitzero"`
	Lease   LeaseID `json:",omitempty"`
}

var failures = map[string]error{
	"Conflict":      ErrConflict,
	"RateLimited":   ErrRateLimited,
	"LeaseLapsed":   ErrLeaseExpired,
	"Compacted":     ErrCompacted,
	"ValueTooLarge": ErrValueTooLarge,
	"Unavailable":   ErrUnavailable,
}

// FailureName returns the name of an error in the protocol: empty for nil, and Unavailable for an error without a name
// of its own. It does not unwrap the error.
func FailureName(err error) string {
	for name, known := range failures {
		if err != nil && known == err {
			return name
		}
	}
	if err != nil {
		return "Unavailable"
	}
	return ""
}
