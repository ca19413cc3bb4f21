// Package parser reads a ticket from JSON with comments and checks every field.
package parser

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// Parse reads a ticket from JSON with comments. Its error has the kind BadTicket and names the line, the field and
// the allowed values of each mistake.
func Parse(text []byte) (ticketer.Ticket, error) {
	if failure, ok := checkText(text); !ok {
		return ticketer.Ticket{}, ticketer.JoinFailures([]ticketer.Failure{failure})
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return ticketer.Ticket{}, ticketer.JoinFailures([]ticketer.Failure{syntaxFailure(err)})
	}
	r := &reader{text: text}
	ticket := r.ticket(value)
	if err := ticketer.JoinFailures(r.failures); err != nil {
		return ticketer.Ticket{}, err
	}
	return ticket, nil
}

// checkText checks the size and the nesting of a text before it is parsed. It returns true if the text passes.
func checkText(text []byte) (ticketer.Failure, bool) {
	if len(text) > MaxTextBytes {
		return ticketer.Failure{
			Problem: fmt.Sprintf("the ticket has %d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes; split it into several tickets", MaxTextBytes),
		}, false
	}
	if line, deep := tooDeep(text); deep {
		return ticketer.Failure{
			Line:    line,
			Problem: "the nesting is too deep",
			Allowed: fmt.Sprintf("at most %d levels", maxDepth),
		}, false
	}
	return ticketer.Failure{}, true
}

// syntaxLine finds the line in an error of hujson.
var syntaxLine = regexp.MustCompile(`line (\d+)`)

func syntaxFailure(err error) ticketer.Failure {
	failure := ticketer.Failure{Problem: err.Error(), Allowed: "JSON with comments and trailing commas"}
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		failure.Line, _ = strconv.Atoi(match[1])
	}
	return failure
}

func (r *reader) ticket(value hujson.Value) ticketer.Ticket {
	var ticket ticketer.Ticket
	r.object("", value,
		field{"ID", true, func(p string, v hujson.Value) { ticket.ID = r.name(p, v, plainName) }},
		field{"Base", true, func(p string, v hujson.Value) { ticket.Base = r.integer(p, v, 0, maxNumber) }},
		field{"Comment", false, func(p string, v hujson.Value) { ticket.Comment = r.textValue(p, v, maxCommentBytes) }},
		field{"Services", false, section(r, &ticket.Services, plainName, readService)},
		field{"Jobs", false, section(r, &ticket.Jobs, plainName, readJob)},
		field{"Quotas", false, section(r, &ticket.Quotas, plainName, readQuota)},
		field{"Limits", false, section(r, &ticket.Limits, plainName, readLimit)},
		field{"Routes", false, section(r, &ticket.Routes, plainName, readRoute)},
		field{"DrainedServers", false, section(r, &ticket.DrainedServers, serverName, readDrainedServer)},
		field{"DrainedZones", false, section(r, &ticket.DrainedZones, plainName, readDrainedZone)},
		field{"DeadInstances", false, section(r, &ticket.DeadInstances, serverName, readDeadInstance)},
	)
	if len(r.failures) == 0 && len(ticket.ChangedObjects()) == 0 {
		r.fail(value, "", "the ticket changes nothing", "at least one object in any section")
	}
	return ticket
}

// section returns a function that reads one section of a ticket: an object whose members are the section's objects by
// name. A null member deletes the object of its name.
func section[K ~string, V any](
	r *reader, target *map[K]*V, rule nameRule, read func(r *reader, path, name string, value hujson.Value) V,
) func(path string, value hujson.Value) {
	return func(path string, value hujson.Value) {
		r.eachMember(path, value, maxObjects, func(name string, key, member hujson.Value) {
			r.checkName(join(path, name), key, name, rule)
			if *target == nil {
				*target = make(map[K]*V)
			}
			if isNull(member) {
				(*target)[K(name)] = nil
				return
			}
			object := read(r, join(path, name), name, member)
			(*target)[K(name)] = &object
		})
	}
}

// eachMember calls visit for each member of an object whose member names are not fixed. Null counts as an empty object.
func (r *reader) eachMember(
	path string, value hujson.Value, maximum int, visit func(name string, key, member hujson.Value),
) {
	if isNull(value) {
		return
	}
	object, ok := value.Value.(*hujson.Object)
	allowed := fmt.Sprintf("an object with at most %d members", maximum)
	if !ok {
		r.failType(value, path, allowed)
		return
	}
	if len(object.Members) > maximum {
		r.fail(value, path, fmt.Sprintf("has %d members", len(object.Members)), allowed)
		return
	}
	r.members(path, value, visit)
}

// zones returns a function that reads a list of availability zones.
func (r *reader) zones(target *[]describer.AvailabilityZoneID) func(path string, value hujson.Value) {
	return func(path string, value hujson.Value) {
		r.list(path, value, maxZones, func(path string, element hujson.Value) {
			*target = append(*target, describer.AvailabilityZoneID(r.name(path, element, plainName)))
		})
	}
}

// reason returns a function that reads the reason of a change.
func (r *reader) reason(target *string) func(path string, value hujson.Value) {
	return func(path string, value hujson.Value) { *target = r.textValue(path, value, maxReasonBytes) }
}

// class returns a function that reads a class.
func (r *reader) class(target *describer.Class) func(path string, value hujson.Value) {
	return func(path string, value hujson.Value) {
		literal, _ := value.Value.(hujson.Literal)
		class, err := describer.ParseClass(literalText(literal))
		if err != nil {
			r.fail(value, path, fmt.Sprintf("%.40s is not a class", string(literal)), "Urgent, Standard or Deferrable")
			return
		}
		*target = class
	}
}

// literalText returns the text of a string literal, or an empty text for any other literal.
func literalText(literal hujson.Literal) string {
	if len(literal) == 0 || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}
