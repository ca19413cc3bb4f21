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
	for _, one := range ticket.changedValues() {
		proposed[one.object] = one.value
	}
	var conflicts []Conflict
	for _, accepted := range later {
		if accepted.Number <= base {
			continue
		}
		for _, changed := range accepted.Ticket.changedValues() {
			value, found := proposed[changed.object]
			if !found {
				continue
			}
			conflicts = append(conflicts, Conflict{
				Number: accepted.Number,
				Object: changed.object,
				Fields: conflictingFields(changed.object, changed.value, value),
			})
		}
	}
	return conflicts
}

func conflictingFields(object Object, changed, proposed any) []string {
	if changed == nil || proposed == nil {
		return nil
	}
	var fields []string
	for _, change := range diffObject(object, changed, proposed) {
		fields = append(fields, change.Field)
	}
	return fields
}

// String returns the conflict as a clause for an error message.
func (c Conflict) String() string {
	if len(c.Fields) == 0 {
		return fmt.Sprintf("ticket %d changed %s", c.Number, c.Object)
	}
	return fmt.Sprintf("ticket %d changed %s (differing fields: %s)", c.Number, c.Object, strings.Join(c.Fields, ", "))
}

// ConflictError returns an error of kind Conflict that names the accepted tickets, the objects and the fields.
func ConflictError(base int64, conflicts []Conflict) error {
	parts := make([]string, len(conflicts))
	for i, conflict := range conflicts {
		parts[i] = conflict.String()
	}
	return classifier.New(classifier.Conflict, "ticket is based on ticket %d, but %s", base, strings.Join(parts, "; "))
}
