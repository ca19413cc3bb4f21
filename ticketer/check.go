package ticketer

import (
	"encoding/json"
	"fmt"
)

// MaxTicketBytes is the maximum size of an encoded ticket. It leaves a margin below the store's limit of 1 MiB per
// value for the other fields of the stored record.
const MaxTicketBytes = 1_000_000

// Check returns an error of kind BadTicket if a ticket must not be applied to a state: after the ticket, the service of
// each route must exist, and the record of the ticket must fit into one value of the store.
func Check(state State, ticket Ticket) error {
	var failures []Failure
	after := withObjects(state, ticket)
	for _, route := range after.Routes() {
		if _, ok := after.Service(route.Service); !ok {
			failures = append(failures, Failure{
				Field:   fmt.Sprintf("%s.%s.Service", RoutesSection, route.ID),
				Problem: fmt.Sprintf("there is no service %q after this ticket", route.Service),
				Allowed: "an existing service; a service is deleted together with its routes",
			})
		}
	}
	if size := encodedSize(ticket); size > MaxTicketBytes {
		failures = append(failures, Failure{
			Problem: fmt.Sprintf("the ticket has %d bytes when encoded", size),
			Allowed: fmt.Sprintf("at most %d bytes; split it into several tickets", MaxTicketBytes),
		})
	}
	return JoinFailures(failures)
}

func encodedSize(ticket Ticket) int {
	encoded, err := json.Marshal(ticket)
	if err != nil {
		return MaxTicketBytes + 1
	}
	return len(encoded)
}
