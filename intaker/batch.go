package intaker

import (
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

// noteEntries records how many entries of a transaction a submission takes.
func (i *Intaker) noteEntries(entries int) {
	for {
		known := i.largest.Load()
		if int64(entries) <= known || i.largest.CompareAndSwap(known, int64(entries)) {
			return
		}
	}
}

// gather claims the first submission and those that are queued behind it, up to the size of a batch, and returns those that
// were not withdrawn.
func (i *Intaker) gather(first *submission) []*submission {
	var batch []*submission
	entries := 0
	fences := make(map[string]bool)
	add := func(s *submission) {
		if !s.claim() {
			return
		}
		batch, entries = append(batch, s), entries+s.entries()
		if key := s.fence.Key; key != "" {
			if fences[key] {
				entries--
			}
			fences[key] = true
		}
	}
	add(first)
	// There is room for the next submission whatever its size.
	for entries+int(i.largest.Load()) <= keeper.MaxTransactionEntries {
		select {
		case next := <-i.queue.Items():
			add(next)
		default:
			return batch
		}
	}
	return batch
}

func transactionOf(batch []*submission) keeper.Transaction {
	var transaction keeper.Transaction
	seen := make(map[string]bool, len(batch))
	for _, s := range batch {
		if fence := s.fence.Condition; fence.Key != "" && !seen[fence.Key] {
			seen[fence.Key] = true
			transaction.Conditions = append(transaction.Conditions, fence)
		}
		key := JobKey(s.job.ID)
		if seen[key] {
			continue
		}
		seen[key] = true
		for _, absent := range s.keys {
			transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: absent})
		}
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: s.value})
	}
	return transaction
}

// complete confirms a stored batch. Of several submissions with the same ID, the first one is stored.
func (i *Intaker) complete(batch []*submission) {
	teams := make(map[specifier.JobID]string, len(batch))
	for _, s := range batch {
		if _, known := teams[s.job.ID]; !known {
			teams[s.job.ID] = s.job.Team
		}
		s.done <- i.resultOf(s.job, teams[s.job.ID])
	}
}

// confirmStored confirms the submissions whose jobs are in the store, refuses those whose ID another team has, and returns the others.
func (i *Intaker) confirmStored(batch []*submission, conflict *keeper.ConflictError) []*submission {
	var remaining []*submission
	for _, s := range batch {
		entry, stored := s.storedAs(conflict)
		switch {
		case !stored:
			remaining = append(remaining, s)
		case !i.checksTeam(s.job):
			s.done <- nil
		default:
			team, err := TeamOf(entry.Value)
			if err == nil {
				err = i.resultOf(s.job, team)
			}
			s.done <- err
		}
	}
	return remaining
}

// withoutExpired drops the submissions whose callers no longer wait.
func withoutExpired(batch []*submission) []*submission {
	var remaining []*submission
	for _, s := range batch {
		if time.Now().Before(s.deadline) {
			remaining = append(remaining, s)
		}
	}
	return remaining
}
