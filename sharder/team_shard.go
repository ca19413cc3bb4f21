package sharder

import (
	"cmp"
	"slices"

	"egretring.example/egretring/specifier"
)

// teamShard assigns a team to the shard that has all of its jobs, so that one owner counts what the team runs.
type teamShard struct {
	Team  string
	Shard int
}

// assignTeams assigns teams to shards in the order of their weights, the largest first, each to the shard with the least weight.
func assignTeams(teams []specifier.Team, shards int) []teamShard {
	slices.SortStableFunc(teams, func(a, b specifier.Team) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	weights := make([]float64, shards)
	assigned := make(map[string]bool, len(teams))
	var assignments []teamShard
	for _, team := range teams {
		if assigned[team.Name] {
			continue
		}
		assigned[team.Name] = true
		least := slices.Index(weights, slices.Min(weights))
		// A team without a valid weight counts as one job a second, so that such teams are spread, too.
		weights[least] += max(team.Weight, 1)
		assignments = append(assignments, teamShard{Team: team.Name, Shard: least})
	}
	return assignments
}

// shardOf returns the shard of the jobs of a team, or of a job without a team.
func (l layout) shardOf(team string, id specifier.JobID) int {
	if team == "" {
		return jobShard(id, l.Shards)
	}
	for _, assigned := range l.Teams {
		if assigned.Team == team {
			return assigned.Shard
		}
	}
	return hashOf(team) % l.Shards
}

// shardsFor returns the shards in which a caller's job may be, in the order in which they are asked: that of the team, that of a job
// without a team, and the others, which have jobs of times when the caller's key was not known. Without keys there is one.
func (l layout) shardsFor(caller specifier.Caller, id specifier.JobID) []int {
	first := l.shardOf(caller.Team, id)
	shards := []int{first}
	if caller.Unchecked {
		return shards
	}
	if home := jobShard(id, l.Shards); home != first {
		shards = append(shards, home)
	}
	for shard := range l.Shards {
		if !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
