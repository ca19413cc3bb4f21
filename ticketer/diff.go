package ticketer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one field of an object that differs between two states.
type Change struct {
	Object Object
	// Field is the path of the field inside the object; it is empty when the whole object was added or deleted.
	Field string
	// Before and After are JSON texts; an empty text means that the field or object does not exist.
	Before string
	After  string
}

// Diff returns the changes that lead from one state to another, ordered by section, name and field.
func Diff(before, after State) []Change {
	var changes []Change
	changes = appendDiff(changes, ServicesSection, before.services, after.services)
	changes = appendDiff(changes, JobsSection, before.jobs, after.jobs)
	changes = appendDiff(changes, QuotasSection, before.quotas, after.quotas)
	changes = appendDiff(changes, LimitsSection, before.limits, after.limits)
	changes = appendDiff(changes, RoutesSection, before.routes, after.routes)
	changes = appendDiff(changes, DrainedServersSection, before.drainedServers, after.drainedServers)
	changes = appendDiff(changes, DrainedZonesSection, before.drainedZones, after.drainedZones)
	return appendDiff(changes, DeadInstancesSection, before.deadInstances, after.deadInstances)
}

func appendDiff[K ~string, V any](changes []Change, section Section, before, after table[K, V]) []Change {
	if before.shards == after.shards {
		return changes
	}
	keys := append(before.keysNotShared(after), after.keysNotShared(before)...)
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		object := Object{Section: section, Name: string(key)}
		changes = append(changes, diffObject(object, valueOf(before, key), valueOf(after, key))...)
	}
	return changes
}

func valueOf[K ~string, V any](t table[K, V], key K) any {
	value, ok := t.get(key)
	if !ok {
		return nil
	}
	return value
}

func diffObject(object Object, before, after any) []Change {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	if before == nil || after == nil {
		return []Change{{Object: object, Before: textOf(before), After: textOf(after)}}
	}
	var changes []Change
	left, right := fieldsOf(before), fieldsOf(after)
	for _, field := range namesOf(left, right) {
		if left[field] != right[field] {
			changes = append(changes, Change{Object: object, Field: field, Before: left[field], After: right[field]})
		}
	}
	return changes
}

func textOf(value any) string {
	if value == nil {
		return ""
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(encoded)
}

// fieldsOf returns the fields of an object as JSON texts by their paths. The fields of nested objects have paths of
// their own; a list is one field.
func fieldsOf(value any) map[string]string {
	fields := make(map[string]string)
	var decoded any
	decoder := json.NewDecoder(strings.NewReader(textOf(value)))
	decoder.UseNumber()
	if err := decoder.Decode(&decoded); err != nil {
		fields[""] = textOf(value)
		return fields
	}
	flatten(fields, "", decoded)
	return fields
}

func flatten(fields map[string]string, path string, value any) {
	inner, ok := value.(map[string]any)
	if !ok {
		fields[path] = textOf(value)
		return
	}
	for name, one := range inner {
		if path == "" {
			flatten(fields, name, one)
			continue
		}
		flatten(fields, path+"."+name, one)
	}
}

func namesOf(left, right map[string]string) []string {
	names := make([]string, 0, len(left)+len(right))
	for name := range left {
		names = append(names, name)
	}
	for name := range right {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
