package arbiter

import (
	"cmp"
	"slices"

	"egretring.example/egretring/specifier"
)

// MarkBeyond sets Beyond of the steps of teams. For each team, tokens returns how many jobs are within its rate, given the number of
// those that wait, still have a value and have not taken a token; the first ones in the order within the team are. Jobs that have taken a
// token are within the rate.
func MarkBeyond[V any](ranks []*Rank[V], tokens func(team string, waiting int) int) {
	byTeam := make(map[string][]*Rank[V])
	for _, r := range ranks {
		r.Beyond = false
		if r.Team != "" && !r.Paid {
			byTeam[r.Team] = append(byTeam[r.Team], r)
		}
	}
	for team, unpaid := range byTeam {
		jobs := make(map[specifier.JobID]bool, len(unpaid))
		for _, r := range unpaid {
			if r.Tier != Worthless {
				jobs[r.Step.Job] = true
			}
		}
		left := tokens(team, len(jobs))
		if left >= len(unpaid) {
			continue
		}
		slices.SortFunc(unpaid, func(a, b *Rank[V]) int {
			return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Priority, b.Priority), compareWithin(a, b))
		})
		clear(jobs)
		for _, r := range unpaid {
			if len(jobs) < left {
				jobs[r.Step.Job] = true
			}
			r.Beyond = !jobs[r.Step.Job]
		}
	}
}
