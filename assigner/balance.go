package assigner

// balance assigns each position without a member to the member with the fewest positions, and then moves positions from
// the largest to the smallest share until the shares differ by at most one. It modifies positions in place.
func balance(positions []Owner, members []Member) []Owner {
	counts := make(map[Owner]int, len(members))
	for _, member := range members {
		counts[member.Owner] = 0
	}
	for i, owner := range positions {
		if _, ok := counts[owner]; ok {
			counts[owner]++
			continue
		}
		positions[i] = Owner{}
	}
	if len(members) == 0 {
		return positions
	}
	for {
		smallest, largest := smallestAndLargest(members, counts)
		from := largest
		if hasVacant(positions) {
			from = Owner{}
		} else if counts[largest]-counts[smallest] <= 1 {
			return positions
		}
		positions[farthest(positions, from, smallest)] = smallest
		counts[smallest]++
		if from != (Owner{}) {
			counts[from]--
		}
	}
}

func smallestAndLargest(members []Member, counts map[Owner]int) (smallest, largest Owner) {
	smallest, largest = members[0].Owner, members[0].Owner
	for _, member := range members[1:] {
		if counts[member.Owner] < counts[smallest] {
			smallest = member.Owner
		}
		if counts[member.Owner] > counts[largest] {
			largest = member.Owner
		}
	}
	return smallest, largest
}

func hasVacant(positions []Owner) bool {
	for _, owner := range positions {
		if owner == (Owner{}) {
			return true
		}
	}
	return false
}

// farthest returns the position that, among those of the owner from, is farthest from all positions of the owner to.
// Moving this one spreads each member over the positions, so that a member has slots on most backend servers.
func farthest(positions []Owner, from, to Owner) int {
	best, bestDistance := -1, -1
	for i, owner := range positions {
		if owner != from {
			continue
		}
		if distance := distanceTo(positions, i, to); distance > bestDistance {
			best, bestDistance = i, distance
		}
	}
	return best
}

func distanceTo(positions []Owner, from int, owner Owner) int {
	count := len(positions)
	for distance := 1; distance <= count/2; distance++ {
		if positions[(from+distance)%count] == owner || positions[(from-distance+count)%count] == owner {
			return distance
		}
	}
	return count
}
