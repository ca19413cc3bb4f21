package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/registrar"
)

const (
	httpCalls     = 300
	watchedGroups = 100
)

func platformSweeps(uint64) []sweep {
	servers := []int{48, 1_222, 5_500, 11_000}
	tasks := []int{1, 5, 10, 20, 40}
	watchers := []int{1, 3, 8, 16}
	return []sweep{
		{
			"bytes of one read of the instance list", "backend servers of the cell", servers, serversToday, serversLater,
			func(size int) float64 { return encodedBytes(listingOf(size)) },
		},
		{
			"µs of one read of the instance list, both ends", "backend servers of the cell", servers, serversToday, serversLater,
			listTime,
		},
		{
			"µs to decode one read of the instance list (entry instance only)", "backend servers of the cell", servers,
			serversToday, serversLater, listDecodeTime,
		},
		{
			"bytes of one read of the zone (record and members, HTTP)", "members of the zone",
			[]int{1, 3, 8, 16, 32},
			membersToday, membersLater, zoneReadBytes,
		},
		{
			"bytes of a usage report", "tasks of the backend server", tasks, tasksPerServer, tasksPerServer,
			func(size int) float64 { return encodedBytes(usageReportOf(size)) },
		},
		{
			"µs of one read of a usage report, both ends", "tasks of the backend server", tasks, tasksPerServer, tasksPerServer,
			usageTime,
		},
		{
			"bytes of a renewal of leases", "tasks of the backend server", tasks, tasksPerServer, tasksPerServer,
			func(size int) float64 { return encodedBytes(renewalOf(size)) },
		},
		{
			"µs of one renewal of leases, both ends", "tasks of the backend server", tasks, tasksPerServer, tasksPerServer,
			renewalTime,
		},
		{
			"ended watches of the zone's keys for each group of task records", "members that watch", watchers,
			membersToday, membersLater,
			watchesPerGroup,
		},
	}
}

func listingOf(servers int) lister.Listing {
	var listing lister.Listing
	for i, server := range capacityServers(servers) {
		server.AvailabilityZone = describer.AvailabilityZoneID(fmt.Sprintf("zone-%d", i%capacityZones))
		server.Address = fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250)
		listing.BackendServers = append(listing.BackendServers, server)
	}
	return listing
}

func listTime(servers int) float64 {
	fake := fakelister.New(listingOf(servers))
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	client := lister.NewClient(server.URL, server.Client())
	return microsecondsEach(20, func(int) { _, _ = client.BackendServers(context.Background()) })
}

func listDecodeTime(servers int) float64 {
	body, err := json.Marshal(listingOf(servers))
	if err != nil {
		return 0
	}
	return microsecondsEach(20, func(int) {
		var listing lister.Listing
		_ = json.NewDecoder(bytes.NewReader(body)).Decode(&listing)
	})
}

// zoneReadBytes returns the bytes of the two store calls with which a member reads its zone once a second.
func zoneReadBytes(members int) float64 {
	ctx := context.Background()
	store := fakekeeper.New()
	zone := newOwnershipZone(members, serversInZoneToday)
	values := map[string]any{"Zones/" + recordsZone + "/Assignment": zone.record}
	for _, member := range zone.record.Members {
		values["Members/"+recordsZone+"/"+string(member.Instance)] = registrar.MemberRecord{
			Owner: member.Owner, Address: member.Address, StartedAt: epochStart, WriteID: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
		}
	}
	for key, value := range values {
		body, err := json.Marshal(value)
		if err != nil {
			return 0
		}
		if _, err := store.Put(ctx, keeper.PutOptions{Key: key, Value: body}); err != nil {
			return 0
		}
	}
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var moved atomic.Int64
	dialer := net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &moved}, err
	}}
	defer transport.CloseIdleConnections()
	client := keeper.NewClient(server.URL, &http.Client{Transport: transport})
	_, _ = client.Get(ctx, "Zones/"+recordsZone+"/Assignment")
	_, _ = client.List(ctx, "Members/"+recordsZone+"/")
	return float64(moved.Load())
}

func usageReportOf(tasks int) forwarder.UsageReport {
	report := forwarder.UsageReport{SampledAt: epochStart, BusySlots: 8, Connections: 64}
	for i := range tasks {
		report.Tasks = append(report.Tasks, forwarder.TaskReport{
			Task: describer.TaskID{Job: "job-0123456789abcdef", Index: i}, Attempt: 1, Epoch: 1_234, State: forwarder.TaskRunning,
			Used: describer.Resources{MilliCores: 281, MemoryBytes: 1_140_850_688},
		})
	}
	return report
}

func renewalOf(tasks int) forwarder.RenewCall {
	call := forwarder.RenewCall{Epoch: 1_234, LeaseSeconds: 30}
	for i := range tasks {
		call.Tasks = append(call.Tasks, forwarder.TaskAttempt{
			Task: describer.TaskID{Job: "job-0123456789abcdef", Index: i}, Attempt: 1,
		})
	}
	return call
}

func usageTime(tasks int) float64 {
	report := usageReportOf(tasks)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer server.Close()
	client := forwarder.NewTaskClient(server.Listener.Addr().String(), server.Client())
	return microsecondsEach(httpCalls, func(int) { _, _ = client.Usage(context.Background()) })
}

func renewalTime(tasks int) float64 {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call forwarder.RenewCall
		_ = json.NewDecoder(r.Body).Decode(&call)
		_ = json.NewEncoder(w).Encode(forwarder.RenewReply{})
	}))
	defer server.Close()
	client := forwarder.NewTaskClient(server.Listener.Addr().String(), server.Client())
	call := renewalOf(tasks)
	return microsecondsEach(httpCalls, func(int) { _, _ = client.Renew(context.Background(), call) })
}

// watchesPerGroup returns how many watches of a zone's key prefix end for each group of task records that is written,
// when all members of the zone watch that prefix.
func watchesPerGroup(watchers int) float64 {
	store := fakekeeper.New()
	ctx := context.Background()
	revisions := make([]int64, watchers)
	ended := 0
	for sequence := range watchedGroups {
		body, err := json.Marshal(committer.Group{Epoch: 1, Sequence: int64(sequence + 1), Records: startedRecords(groupLater)})
		if err != nil {
			return 0
		}
		key := fmt.Sprintf("Zones/%s/Starts/1-%d", recordsZone, sequence+1)
		if _, err := store.Put(ctx, keeper.PutOptions{Key: key, Value: body}); err != nil {
			return 0
		}
		for i := range revisions {
			// The change is already written, so the watch returns immediately.
			bounded, cancel := context.WithTimeout(ctx, time.Minute)
			changes, err := store.Watch(bounded, "Zones/"+recordsZone+"/", revisions[i])
			cancel()
			if err == nil {
				revisions[i] = changes.Revision
				ended++
			}
		}
	}
	return float64(ended) / watchedGroups
}
