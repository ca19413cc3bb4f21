package coordinator

import "time"

// rejoinTime is how long a member that is missing from the list counts in elections. After an outage of the store the leases of all
// members have lapsed. They notice at their next renewal, up to a second later, and register again; a slow store takes 250 ms.
const rejoinTime = 3 * time.Second

// missingMembers are the members that were listed before and are not any more, by their instances.
type missingMembers map[string]missingMember

type missingMember struct {
	member
	until time.Time
}

// update compares the known members with a new list.
func (m missingMembers) update(now time.Time, known, listed []member) {
	for _, k := range known {
		if _, missing := m[k.Instance]; !missing {
			m[k.Instance] = missingMember{member: k, until: now.Add(rejoinTime)}
		}
	}
	for _, l := range listed {
		delete(m, l.Instance)
	}
	for instance, missing := range m {
		if !now.Before(missing.until) {
			delete(m, instance)
		}
	}
}
