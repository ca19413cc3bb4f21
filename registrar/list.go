package registrar

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// targets holds the instances in the instance list, and selects the one in each other zone that gets heartbeats.
type targets struct {
	mu        sync.Mutex
	instances []describer.Instance
	// skipped counts the failed heartbeats to each other zone; each failure selects the zone's next instance.
	skipped map[describer.AvailabilityZoneID]int
}

// target is a peer that gets heartbeats. The owner is set only for members of this instance's zone.
type target struct {
	instance describer.InstanceID
	zone     describer.AvailabilityZoneID
	address  string
	owner    assigner.Owner
}

// runList reads the instance list every listInterval.
func (r *Registrar) runList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		r.readList(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// readList reads the instance list and passes on the zone's backend servers when they have changed. When a read fails,
// the last result stays in use.
func (r *Registrar) readList(ctx context.Context) {
	instances, err := r.list.Instances(ctx)
	if err == nil {
		r.targets.mu.Lock()
		r.targets.instances = instances
		r.targets.mu.Unlock()
	}
	listed, err := r.list.BackendServers(ctx)
	if err != nil {
		r.hooks.logger.Warn("instance list not read", "Error", err.Error())
		return
	}
	listed = slices.DeleteFunc(slices.Clone(listed), func(server describer.BackendServer) bool {
		return server.AvailabilityZone != r.self.AvailabilityZone || server.State == describer.Gone
	})
	r.mu.Lock()
	changed := !slices.Equal(listed, r.servers)
	r.servers = listed
	r.mu.Unlock()
	if !changed {
		return
	}
	r.hooks.servers(listed)
	r.postServers(ctx)
}

// peersToCall returns the members and instances of this instance's zone, and one instance of each other zone.
func (r *Registrar) peersToCall() []target {
	r.mu.Lock()
	members := append(slices.Clone(r.assigner.Record().Members), r.assigner.Adopted().Members...)
	r.mu.Unlock()
	found := make(map[string]target)
	zones := make(map[describer.AvailabilityZoneID][]describer.Instance)
	r.targets.mu.Lock()
	defer r.targets.mu.Unlock()
	for _, instance := range r.targets.instances {
		if instance.AvailabilityZone != r.self.AvailabilityZone {
			zones[instance.AvailabilityZone] = append(zones[instance.AvailabilityZone], instance)
			continue
		}
		found[instance.PeerAddress] = targetOf(instance)
	}
	for _, member := range members {
		found[member.Address] = target{
			instance: member.Instance, zone: r.self.AvailabilityZone, address: member.Address, owner: member.Owner,
		}
	}
	for zone, instances := range zones {
		chosen := instances[(hashOf(r.self.ID)+r.targets.skipped[zone])%len(instances)]
		found[chosen.PeerAddress] = targetOf(chosen)
	}
	delete(found, r.self.PeerAddress)
	peers := make([]target, 0, len(found))
	for _, peer := range found {
		peers = append(peers, peer)
	}
	return peers
}

func targetOf(instance describer.Instance) target {
	return target{instance: instance.ID, zone: instance.AvailabilityZone, address: instance.PeerAddress}
}

// selectNextInstance selects the next instance of another zone for heartbeats.
func (r *Registrar) selectNextInstance(zone describer.AvailabilityZoneID) {
	if zone == r.self.AvailabilityZone {
		return
	}
	r.targets.mu.Lock()
	defer r.targets.mu.Unlock()
	if r.targets.skipped == nil {
		r.targets.skipped = make(map[describer.AvailabilityZoneID]int)
	}
	r.targets.skipped[zone]++
}

// hashOf returns a hash by which the instances of a zone choose different instances of another zone.
func hashOf(instance describer.InstanceID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance))
	return int(hash.Sum32() >> 1)
}
