package intaker

import (
	"encoding/json"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

// OtherShards are the shards that may have jobs of other teams. An ID must be in use in one shard only, because backend servers know
// a task by the ID of its job.
type OtherShards struct {
	// KeysOf returns the names, in this intaker's store, that a key has in the other shards.
	KeysOf func(key string) []string
	// Always is set where jobs without a team need the check, too: calls carry keys.
	Always bool
}

// WithOtherShards makes the intaker refuse IDs that are in use in other shards. It applies to jobs of teams, or to all.
func WithOtherShards(others OtherShards) Option {
	return func(i *Intaker) { i.others = &others }
}

// checksTeam reports whether the ID of a job may belong to a job of another team.
func (i *Intaker) checksTeam(job specifier.Job) bool {
	return job.Team != "" || i.others != nil && i.others.Always
}

// keysOf returns the keys that must not exist when a job is stored.
func (i *Intaker) keysOf(job specifier.Job) []string {
	own := []string{JobKey(job.ID), StateKey(job.ID)}
	if i.others == nil || !i.checksTeam(job) {
		return own
	}
	keys := own
	for _, key := range own {
		keys = append(keys, i.others.KeysOf(key)...)
	}
	return keys
}

// storedAs returns the entry of a job or record under one of the submission's keys, if there is one.
func (s *submission) storedAs(conflict *keeper.ConflictError) (keeper.Entry, bool) {
	for _, key := range s.keys {
		if entry := conflict.EntryOf(key); entry.Revision != 0 {
			return entry, true
		}
	}
	return keeper.Entry{}, false
}

// resultOf returns the result of a submission whose ID has a job of a team.
func (i *Intaker) resultOf(job specifier.Job, team string) error {
	if (specifier.Caller{Team: job.Team}).Owns(team) {
		return nil
	}
	return classifier.New(classifier.Conflict, "the ID of job %s cannot be used", job.ID)
}

// TeamOf returns the team in the stored value of a job or of its record.
func TeamOf(value []byte) (string, error) {
	var stored struct{ Team string }
	if err := json.Unmarshal(value, &stored); err != nil {
		return "", classifier.Wrap(err, classifier.Internal, "decode the team of a job")
	}
	return stored.Team, nil
}

// owns reports whether the value of a job or of its record is that of a caller's job.
func owns(caller specifier.Caller, value []byte) (bool, error) {
	if caller.Unchecked {
		return true, nil
	}
	team, err := TeamOf(value)
	return err == nil && caller.Owns(team), err
}
