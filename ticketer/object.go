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

// changedObject is an object that a ticket sets or deletes, with its new value; a nil value means that it is deleted.
type changedObject struct {
	object Object
	value  any
}

// ChangedObjects returns the objects that a ticket sets or deletes, ordered by section and name.
func (t Ticket) ChangedObjects() []Object {
	all := t.changedValues()
	objects := make([]Object, len(all))
	for i, one := range all {
		objects[i] = one.object
	}
	return objects
}

// changedValues returns the objects that a ticket sets or deletes with their new values, ordered by section and name.
func (t Ticket) changedValues() []changedObject {
	var all []changedObject
	all = appendChanged(all, ServicesSection, t.Services)
	all = appendChanged(all, JobsSection, t.Jobs)
	all = appendChanged(all, QuotasSection, t.Quotas)
	all = appendChanged(all, LimitsSection, t.Limits)
	all = appendChanged(all, RoutesSection, t.Routes)
	all = appendChanged(all, DrainedServersSection, t.DrainedServers)
	all = appendChanged(all, DrainedZonesSection, t.DrainedZones)
	return appendChanged(all, DeadInstancesSection, t.DeadInstances)
}

func appendChanged[K ~string, V any](all []changedObject, section Section, values map[K]*V) []changedObject {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		one := changedObject{object: Object{Section: section, Name: string(key)}}
		if value := values[key]; value != nil {
			one.value = *value
		}
		all = append(all, one)
	}
	return all
}
