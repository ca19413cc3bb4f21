package ticketer

import (
	"encoding/json"
	"fmt"
)

// MaxRecordBytes is the largest encoded ticket; it leaves room below the store's 1 MB per value.
const MaxRecordBytes = 1_000_000

// Check reports whether a ticket may be applied to a state: what it refers to must exist afterwards, and its record
// must fit into one value of the store. Its error has the kind BadTicket.
func Check(state State, ticket Ticket) error {
	var failures []Failure
	after := preview(state, ticket)
	for _, route := range after.Routes() {
		if _, ok := after.Service(route.Service); !ok {
			failures = append(failures, Failure{
				Field:   fmt.Sprintf("%s.%s.Service", RoutesSection, route.ID),
				Problem: fmt.Sprintf("there is no service %q after this ticket", route.Service),
				Allowed: "an existing service; a service is deleted together with its routes",
			})
		}
	}
	if size := encodedSize(ticket); size > MaxRecordBytes {
		failures = append(failures, Failure{
			Problem: fmt.Sprintf("the ticket has %d bytes when encoded", size),
			Allowed: fmt.Sprintf("at most %d bytes; split it into several tickets", MaxRecordBytes),
		})
	}
	return JoinFailures(failures)
}

func encodedSize(ticket Ticket) int {
	encoded, err := json.Marshal(ticket)
	if err != nil {
		return MaxRecordBytes + 1
	}
	return len(encoded)
}
