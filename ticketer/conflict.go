package ticketer

import (
	"fmt"
	"strings"

	"egretring.example/egretring/classifier"
)

// Collision is an object that a ticket and a later accepted ticket both touch.
type Collision struct {
	// Number is the number of the accepted ticket.
	Number int64
	Object Object
	// Fields are the fields in which the two new states differ; empty when the whole object collides.
	Fields []string
}

// Conflicts returns where a ticket touches objects that accepted tickets after its base touch as well.
func Conflicts(base int64, ticket Ticket, later []Numbered) []Collision {
	mine := make(map[Object]any)
	for _, one := range ticket.touched() {
		mine[one.object] = one.value
	}
	var collisions []Collision
	for _, numbered := range later {
		if numbered.Number <= base {
			continue
		}
		for _, theirs := range numbered.Ticket.touched() {
			value, collides := mine[theirs.object]
			if !collides {
				continue
			}
			collisions = append(collisions, Collision{
				Number: numbered.Number,
				Object: theirs.object,
				Fields: collidingFields(theirs.object, theirs.value, value),
			})
		}
	}
	return collisions
}

func collidingFields(object Object, theirs, mine any) []string {
	if theirs == nil || mine == nil {
		return nil
	}
	var fields []string
	for _, change := range diffObject(object, theirs, mine) {
		fields = append(fields, change.Field)
	}
	return fields
}

// String returns the collision as one sentence part.
func (c Collision) String() string {
	if len(c.Fields) == 0 {
		return fmt.Sprintf("ticket %d changed %s", c.Number, c.Object)
	}
	return fmt.Sprintf("ticket %d changed %s (differing fields: %s)", c.Number, c.Object, strings.Join(c.Fields, ", "))
}

// ConflictError returns an error of kind Conflict that names the accepted tickets and the fields.
func ConflictError(base int64, collisions []Collision) error {
	parts := make([]string, len(collisions))
	for i, collision := range collisions {
		parts[i] = collision.String()
	}
	return classifier.New(classifier.Conflict, "ticket is based on ticket %d, but %s", base, strings.Join(parts, "; "))
}
