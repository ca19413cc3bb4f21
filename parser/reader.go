package parser

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"egretring.example/egretring/ticketer"
)

// reader reads values from a parsed text. It collects all failures instead of stopping at the first one.
type reader struct {
	text     []byte
	failures []ticketer.Failure
}

// field is one allowed field of an object.
type field struct {
	name     string
	required bool
	read     func(path string, value hujson.Value)
}

func (r *reader) lineOf(value hujson.Value) int {
	offset := min(value.StartOffset, len(r.text))
	return 1 + bytes.Count(r.text[:offset], []byte{'\n'})
}

func (r *reader) fail(value hujson.Value, path, problem, allowed string) {
	r.failures = append(r.failures, ticketer.Failure{Line: r.lineOf(value), Field: path, Problem: problem, Allowed: allowed})
}

func (r *reader) failType(value hujson.Value, path, allowed string) {
	r.fail(value, path, "has the wrong type ("+typeOf(value)+")", allowed)
}

// object reads an object with a fixed list of fields. Unknown fields and missing required fields are failures.
func (r *reader) object(path string, value hujson.Value, fields ...field) {
	if _, ok := value.Value.(*hujson.Object); !ok {
		r.failType(value, path, "an object with the fields "+fieldNames(fields))
		return
	}
	seen := r.members(path, value, func(name string, key, member hujson.Value) {
		index := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if index < 0 {
			r.fail(key, join(path, name), "is not a known field", fieldNames(fields))
			return
		}
		fields[index].read(join(path, name), member)
	})
	for _, one := range fields {
		if one.required && !seen[one.name] {
			r.fail(value, join(path, one.name), "is missing", "the field is required")
		}
	}
}

// members calls visit for each member of an object and returns the set of their names. A name that appears twice is a
// failure, and its later members are skipped.
func (r *reader) members(path string, value hujson.Value, visit func(name string, key, member hujson.Value)) map[string]bool {
	object, _ := value.Value.(*hujson.Object)
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		name := literal.String()
		if seen[name] {
			r.fail(member.Name, join(path, name), "appears twice", "each name once")
			continue
		}
		seen[name] = true
		visit(name, member.Name, member.Value)
	}
	return seen
}

// textValue reads a string of bounded length.
func (r *reader) textValue(path string, value hujson.Value, maxBytes int) string {
	allowed := fmt.Sprintf("a string of at most %d bytes", maxBytes)
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.failType(value, path, allowed)
		return ""
	}
	if len(literal.String()) > maxBytes {
		r.fail(value, path, fmt.Sprintf("has %d bytes", len(literal.String())), allowed)
		return ""
	}
	return literal.String()
}

// name reads a name and checks it against a rule.
func (r *reader) name(path string, value hujson.Value, rule nameRule) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.failType(value, path, rule.allowed)
		return ""
	}
	r.checkName(path, value, literal.String(), rule)
	return literal.String()
}

func (r *reader) checkName(path string, value hujson.Value, name string, rule nameRule) {
	if !rule.matches(name) {
		r.fail(value, path, fmt.Sprintf("%.140q is not a valid name", name), rule.allowed)
	}
}

// repeatedName returns a function that reads the optional field in which an object repeats its own name. The field must
// equal the name.
func (r *reader) repeatedName(want string) func(path string, value hujson.Value) {
	return func(path string, value hujson.Value) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' || literal.String() != want {
			r.fail(value, path, "differs from the name of the object", strconv.Quote(want)+" or no such field")
		}
	}
}

// integer reads a whole number in a range. On a failure it returns the minimum.
func (r *reader) integer(path string, value hujson.Value, minimum, maximum int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		r.failType(value, path, allowed)
		return minimum
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || number < minimum || number > maximum {
		r.fail(value, path, fmt.Sprintf("is %.40s", string(literal)), allowed)
		return minimum
	}
	return number
}

// boolean reads a boolean. On a failure it returns false.
func (r *reader) boolean(path string, value hujson.Value) bool {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		r.failType(value, path, "true or false")
		return false
	}
	return literal.Bool()
}

// list calls visit for each element of a list. Null counts as an empty list.
func (r *reader) list(path string, value hujson.Value, maximum int, visit func(path string, element hujson.Value)) {
	if isNull(value) {
		return
	}
	array, ok := value.Value.(*hujson.Array)
	allowed := fmt.Sprintf("a list of at most %d elements", maximum)
	if !ok {
		r.failType(value, path, allowed)
		return
	}
	if len(array.Elements) > maximum {
		r.fail(value, path, fmt.Sprintf("has %d elements", len(array.Elements)), allowed)
		return
	}
	for i, element := range array.Elements {
		visit(fmt.Sprintf("%s[%d]", path, i), element)
	}
}

func isNull(value hujson.Value) bool {
	literal, ok := value.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

func typeOf(value hujson.Value) string {
	if value.Value == nil {
		return "nothing"
	}
	switch value.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "boolean"
	case '"':
		return "string"
	case '0':
		return "number"
	case '{':
		return "object"
	default:
		return "list"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, one := range fields {
		names[i] = one.name
	}
	return strings.Join(names, ", ")
}
