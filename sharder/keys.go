package sharder

import (
	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/specifier"
)

// Keys are the settings of the keys of teams.
type Keys struct {
	// Required is set where calls carry keys. Without it, they do once the configuration has teams.
	Required bool
	Bounds   authorizer.Bounds
}

// Authorize returns the caller to whom a key belongs, or why the key may not use the queue.
func (s *Sharder) Authorize(queue specifier.Queue, key string) (specifier.Caller, error) {
	update, _ := s.configurations.Latest()
	if update.Configuration == nil {
		return specifier.Caller{}, classifier.New(classifier.NotReady, "no configuration has been read yet")
	}
	teams := update.Configuration.Teams
	if !s.keys.Required && teams.Len() == 0 {
		return specifier.Caller{Unchecked: true}, nil
	}
	decision := authorizer.Decide(teams, authorizer.Call{Key: key, Public: queue.Public}, authorizer.Freshness{}, s.keys.Bounds)
	switch {
	case decision.Verdict == authorizer.Accepted:
		s.meter.Count("Keys.Accepted", 1)
		return decision.Caller, nil
	case key == "":
		s.meter.Count("Keys.Unknown", 1)
		return specifier.Caller{}, classifier.New(classifier.Unauthorized, "queue %s needs the key of a team; the call has none", queue.Name)
	default:
		s.meter.Count("Keys.Unknown", 1)
		return specifier.Caller{}, classifier.New(classifier.Unauthorized, "the key belongs to no team of configuration version %d",
			update.Configuration.Version)
	}
}
