package ticketer

import (
	"fmt"
	"slices"
)

// Section is the name of a group of objects in a ticket.
type Section string

// The sections of a ticket.
const (
	ServicesSection       Section = "Services"
	JobsSection           Section = "Jobs"
	QuotasSection         Section = "Quotas"
	LimitsSection         Section = "Limits"
	RoutesSection         Section = "Routes"
	DrainedServersSection Section = "DrainedServers"
	DrainedZonesSection   Section = "DrainedZones"
	DeadInstancesSection  Section = "DeadInstances"
)

// Object identifies one object of the configuration.
type Object struct {
	Section Section
	Name    string
}

// String returns the path of the object: its section and its name.
func (o Object) String() string {
	return fmt.Sprintf("%s.%s", o.Section, o.Name)
}

// touched is an object that a ticket sets or deletes, with its new value; a nil value means that it is deleted.
type touched struct {
	object Object
	value  any
}

// ChangedObjects returns the objects that a ticket sets or deletes, ordered by section and name.
func (t Ticket) ChangedObjects() []Object {
	all := t.touched()
	objects := make([]Object, len(all))
	for i, one := range all {
		objects[i] = one.object
	}
	return objects
}

// touched returns the objects that a ticket sets or deletes with their new values, ordered by section and name.
func (t Ticket) touched() []touched {
	var all []touched
	all = appendTouched(all, ServicesSection, t.Services)
	all = appendTouched(all, JobsSection, t.Jobs)
	all = appendTouched(all, QuotasSection, t.Quotas)
	all = appendTouched(all, LimitsSection, t.Limits)
	all = appendTouched(all, RoutesSection, t.Routes)
	all = appendTouched(all, DrainedServersSection, t.DrainedServers)
	all = appendTouched(all, DrainedZonesSection, t.DrainedZones)
	return appendTouched(all, DeadInstancesSection, t.DeadInstances)
}

func appendTouched[K ~string, V any](all []touched, section Section, values map[K]*V) []touched {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		one := touched{object: Object{Section: section, Name: string(key)}}
		if value := values[key]; value != nil {
			one.value = *value
		}
		all = append(all, one)
	}
	return all
}
