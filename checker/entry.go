package checker

import "fmt"

// entry is an entry of a list that is identified by its name.
type entry interface {
	label() string
	place() string
	// summary describes the entry when it is added or removed.
	summary() string
	// removal returns what its removal means for callers, or an empty text.
	removal() string
}

func (q Queue) label() string   { return fmt.Sprintf("queue %q", q.Name.Value) }
func (q Queue) place() string   { return q.Place }
func (q Queue) summary() string { return q.Host.Value + q.Prefix.Value }
func (q Queue) removal() string { return "its callers are refused" }

func (s Service) label() string   { return fmt.Sprintf("service %q", s.Name.Value) }
func (s Service) place() string   { return s.Place }
func (s Service) summary() string { return "" }
func (s Service) removal() string { return "" }

func (t Team) label() string   { return fmt.Sprintf("team %q", t.Name.Value) }
func (t Team) place() string   { return t.Place }
func (t Team) summary() string { return "keys " + maskAll(missingIn(nil, t.Keys)) }
func (t Team) removal() string { return "those of its keys that no other team has are refused" }
