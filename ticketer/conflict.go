package ticketer

import (
	"fmt"
	"strings"

	"egretring.example/egretring/classifier"
)

// Conflict is an object that is set or deleted both by a new ticket and by a ticket that was accepted after the base of
// the new one.
type Conflict struct {
	// Number is the number of the accepted ticket.
	Number int64
	Object Object
	// Fields are the fields in which the values of the two tickets differ. It is empty if one of them deletes the
	// object, or if both set the same value.
	Fields []string
}

// Conflicts returns the objects that are set or deleted both by a ticket and by the accepted tickets after its base.
func Conflicts(base int64, ticket Ticket, later []AcceptedTicket) []Conflict {
	proposed := make(map[Object]any)
	for _, one := range ticket.touched() {
		proposed[one.object] = one.value
	}
	var collisions []Conflict
	for _, numbered := range later {
		if numbered.Number <= base {
			continue
		}
		for _, accepted := range numbered.Ticket.touched() {
			value, collides := proposed[accepted.object]
			if !collides {
				continue
			}
			collisions = append(collisions, Conflict{
				Number: numbered.Number,
				Object: accepted.object,
				Fields: collidingFields(accepted.object, accepted.value, value),
			})
		}
	}
	return collisions
}

func collidingFields(object Object, accepted, proposed any) []string {
	if accepted == nil || proposed == nil {
		return nil
	}
	var fields []string
	for _, change := range diffObject(object, accepted, proposed) {
		fields = append(fields, change.Field)
	}
	return fields
}

// String returns the collision as a clause for an error message.
func (c Conflict) String() string {
	if len(c.Fields) == 0 {
		return fmt.Sprintf("ticket %d changed %s", c.Number, c.Object)
	}
	return fmt.Sprintf("ticket %d changed %s (differing fields: %s)", c.Number, c.Object, strings.Join(c.Fields, ", "))
}

// ConflictError returns an error of kind Conflict that names the accepted tickets, the objects and the fields.
func ConflictError(base int64, collisions []Conflict) error {
	parts := make([]string, len(collisions))
	for i, collision := range collisions {
		parts[i] = collision.String()
	}
	return classifier.New(classifier.Conflict, "ticket is based on ticket %d, but %s", base, strings.Join(parts, "; "))
}
