package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// maxProcessors is the largest number of processors of an instance that is believed.
const maxProcessors = 4096

// member is the value of the key under which an instance registers.
type member struct {
	Instance string
	Address  string
	// Processors is the number of processors, possibly a fraction, that the instance may use; zero is unknown.
	Processors float64 `json:",omitempty"`
}

// muchLarger reports whether the member has more than largerFactor times the processors of this instance, so that it
// should own the cell instead.
func (c *Coordinator) muchLarger(m member) bool {
	return m.Instance != c.settings.instance && m.Processors > largerFactor*c.settings.processors
}

// handOverReason returns why another member should take over the ownership, or an empty string if none should.
func (c *Coordinator) handOverReason(members []member) string {
	if slices.ContainsFunc(members, c.muchLarger) {
		return "a larger instance is there"
	}
	similar := 0
	for _, m := range members {
		if largerFactor*m.Processors >= c.settings.processors {
			similar++
		}
	}
	if c.settings.shouldHandOver != nil && c.settings.shouldHandOver(similar) {
		return "the instance owns other shards, too"
	}
	return ""
}

// electionDelay returns how long this instance waits in an election so that larger ones can win it: the owner's work
// grows with the cell, and a small instance as the owner would delay all others. Larger ones that may still register again count,
// too: after an outage of the store a small instance that registers early would win the elections of all shards.
func (c *Coordinator) electionDelay(ctx context.Context) time.Duration {
	var delay time.Duration
	if c.settings.electionDelay != nil {
		delay = c.settings.electionDelay()
	}
	members, err := c.settings.membership.electors(ctx)
	if err != nil {
		c.settings.logger.Info("failed to read the members before an election", "Error", err.Error())
		return delay
	}
	switch {
	case slices.ContainsFunc(members, c.muchLarger):
		delay += largerInstanceDelay
	case len(members) == 0 && c.settings.processors > 0:
		// The leases of all members have expired during an outage of the store, so the sizes of the others are unknown.
		delay += time.Duration((1 - min(c.settings.processors, 1)) * float64(largerInstanceDelay))
	}
	return delay
}

// advisors returns the instances that make advice calls for the owner: the designated ones, or all instances if none of
// the designated ones is a member.
func (c *Coordinator) advisors(members []member) []string {
	var all, designated []string
	for _, m := range append([]member{{Instance: c.settings.instance}}, members...) {
		if slices.Contains(all, m.Instance) {
			continue
		}
		all = append(all, m.Instance)
		if c.settings.advises != nil && c.settings.advises(m.Instance) {
			designated = append(designated, m.Instance)
		}
	}
	if len(designated) == 0 {
		return all
	}
	return designated
}

// keep registers this instance under a lease and renews the lease, so that owners can request advice calls from it.
func (m *Membership) keep(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := m.join(ctx)
		if err != nil {
			timekeeper.Sleep(ctx, retryInterval*4)
			continue
		}
		for ctx.Err() == nil {
			timekeeper.Sleep(ctx, memberRenewal)
			if err := m.store.Renew(ctx, lease); keeper.IsErrLeaseExpired(err) {
				break
			}
		}
	}
}

func (m *Membership) join(ctx context.Context) (keeper.LeaseID, error) {
	lease, err := m.store.Grant(ctx, keeper.LeaseOptions{TimeToLive: memberLeaseTTL})
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(m.self)
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	_, err = m.store.Commit(ctx, keeper.Transaction{
		Writes: []keeper.Write{{Key: memberKey(m.self.Instance), Value: value, Lease: lease}},
	})
	return lease, err
}

// members reads all registered instances. An entry that cannot be decoded names no member.
func (m *Membership) members(ctx context.Context) ([]member, error) {
	page, err := m.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	members := make([]member, 0, len(page.Entries))
	for _, entry := range page.Entries {
		if found, err := decodeMember(entry.Value); err == nil {
			members = append(members, found)
		}
	}
	m.setKnown(members)
	return members, nil
}

// decodeMember decodes the entry of a member, which another program may have written.
func decodeMember(value []byte) (member, error) {
	var found member
	if err := json.Unmarshal(value, &found); err != nil {
		return member{}, errors.Wrap(err, "decode member")
	}
	if found.Instance == "" || found.Address == "" {
		return member{}, errors.New("instance or address is missing")
	}
	if found.Processors < 0 || found.Processors > maxProcessors {
		return member{}, errors.Errorf("%g processors are not possible", found.Processors)
	}
	return found, nil
}
