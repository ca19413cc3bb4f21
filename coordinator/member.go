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

// member is the value of an instance's key.
type member struct {
	Instance string
	Address  string
	// Processors is the instance's share of processors.
	Processors float64 `json:",omitempty"`
}

// larger reports whether the member is so much larger than this instance that it should own the cell instead.
func (c *Coordinator) larger(m member) bool {
	return m.Instance != c.settings.instance && m.Processors > muchLarger*c.settings.processors
}

// handOverReason returns why another member should take over, or an empty text.
func (c *Coordinator) handOverReason(members []member) string {
	if slices.ContainsFunc(members, c.larger) {
		return "a larger instance is there"
	}
	equals := 0
	for _, m := range members {
		if muchLarger*m.Processors >= c.settings.processors {
			equals++
		}
	}
	if c.settings.crowded != nil && c.settings.crowded(equals) {
		return "the instance owns other shards, too"
	}
	return ""
}

// electionDelay returns how long this instance leaves an election to larger ones: the duty of the owner grows with the
// cell, and a small instance would hold all others up.
func (c *Coordinator) electionDelay(ctx context.Context) time.Duration {
	var delay time.Duration
	if c.settings.electionDelay != nil {
		delay = c.settings.electionDelay()
	}
	members, err := c.members(ctx)
	if err != nil {
		c.settings.logger.Info("members cannot be read before an election", "Error", err.Error())
		return delay
	}
	switch {
	case slices.ContainsFunc(members, c.larger):
		delay += largerFirst
	case len(members) == 0 && c.settings.processors > 0:
		// The keys of all members have lapsed in an outage of the store.
		delay += time.Duration((1 - min(c.settings.processors, 1)) * float64(largerFirst))
	}
	return delay
}

// advisors returns the instances that make advice calls for the owner: all, if none of those that should is there.
func (c *Coordinator) advisors(members []member) []string {
	var all, own []string
	for _, m := range append([]member{{Instance: c.settings.instance}}, members...) {
		if slices.Contains(all, m.Instance) {
			continue
		}
		all = append(all, m.Instance)
		if c.settings.advises != nil && c.settings.advises(m.Instance) {
			own = append(own, m.Instance)
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}

// keepMembership keeps the key of this instance under a lease, so that the owner can ask it for advice calls.
func (c *Coordinator) keepMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := c.join(ctx)
		if err != nil {
			timekeeper.Sleep(ctx, retryInterval*4)
			continue
		}
		for ctx.Err() == nil {
			timekeeper.Sleep(ctx, memberRenewal)
			if err := c.settings.store.Renew(ctx, lease); keeper.IsErrLeaseLapsed(err) {
				break
			}
		}
	}
	return nil
}

func (c *Coordinator) join(ctx context.Context) (keeper.LeaseID, error) {
	lease, err := c.settings.store.Grant(ctx, keeper.LeaseOptions{TimeToLive: memberLife})
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(member{Instance: c.settings.instance, Address: c.settings.address, Processors: c.settings.processors})
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	_, err = c.settings.store.Commit(ctx, keeper.Transaction{
		Writes: []keeper.Write{{Key: memberKey(c.settings.instance), Value: value, Lease: lease}},
	})
	return lease, err
}

// members returns the addresses of all instances that can make advice calls.
func (c *Coordinator) members(ctx context.Context) ([]member, error) {
	page, err := c.settings.store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	var members []member
	for _, entry := range page.Entries {
		var m member
		if err := json.Unmarshal(entry.Value, &m); err != nil {
			return nil, errors.Wrapf(err, "decode member %s", entry.Key)
		}
		members = append(members, m)
	}
	return members, nil
}
