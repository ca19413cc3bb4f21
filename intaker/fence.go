package intaker

import (
	"slices"

	"egretring.example/egretring/keeper"
)

// Fence is a condition on the submission of a job: a key that must still have a revision when the job is stored. The zero value is no
// condition.
type Fence struct {
	keeper.Condition
	// Contended is set if the key is about to change. The submission is then not stored together with others that are not contended,
	// because a condition that does not hold costs all of them another call.
	Contended bool
}

// FenceMovedError is returned for a submission whose fence has another revision. The job is not stored, and no commit of this submission that
// is still under way can store it, because the key never has the former revision again.
type FenceMovedError struct {
	// Current is the entry of the fence's key. It was read together with the keys of the job, which did not exist.
	Current keeper.Entry
}

// Error implements error.
func (e *FenceMovedError) Error() string {
	return "key " + e.Current.Key + " has changed since the submission was decided"
}

// rejectMoved ends the submissions of a batch whose fence does not hold, and returns the others.
func rejectMoved(batch []*submission, conflict *keeper.ConflictError) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if s.fence.Key != "" {
			if current := conflict.EntryOf(s.fence.Key); current.Revision != s.fence.Revision {
				s.done <- &FenceMovedError{Current: current}
				continue
			}
		}
		remaining = append(remaining, s)
	}
	return remaining
}

// firstGroup returns the submissions of a batch that may share a transaction, and those that are written after it. Contended ones are
// written last. Of one key a group has one revision, because another one would not be checked.
func firstGroup(batch []*submission) (group, later []*submission) {
	contended := !slices.ContainsFunc(batch, func(s *submission) bool { return !s.fence.Contended })
	revisions := make(map[string]int64)
	for _, s := range batch {
		revision, known := revisions[s.fence.Key]
		if s.fence.Contended != contended || known && revision != s.fence.Revision {
			later = append(later, s)
			continue
		}
		revisions[s.fence.Key] = s.fence.Revision
		group = append(group, s)
	}
	return group, later
}
