package measurer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/demonstrator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
	"egretring.example/egretring/ticketer"
)

const (
	loopbackService = "tally"
	loopbackKind    = "count"
	// loopbackWarmUp is the number of first calls that are not counted, because they open connections.
	loopbackWarmUp = 200
	// loopbackTimeout bounds the whole measurement.
	loopbackTimeout = 2 * time.Minute
	maxAddedTime    = time.Millisecond
)

// MeasureLoopback compares calls through one entry instance with direct calls of a backend server over loopback. The
// calls alternate, one at a time, so that both kinds are measured under the same load of the machine. The times are
// wall time.
func MeasureLoopback(ctx context.Context, calls int) (Table, error) {
	ctx, cancel := context.WithTimeout(ctx, loopbackTimeout)
	defer cancel()
	runTime := fakebackend.WithRunTime(loopbackKind, generator.RunTime{Median: time.Nanosecond})
	direct, err := fakebackend.New("direct", runTime).Listen("127.0.0.1:0")
	if err != nil {
		return Table{}, errors.Wrap(err, "start backend server for direct calls")
	}
	defer direct.Close()
	cell, err := startLoopbackCell(ctx, runTime)
	if err != nil {
		return Table{}, err
	}
	defer cell.Close()
	path := "/" + loopbackService + "/" + loopbackKind
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var entryTimes, directTimes, addedTimes []time.Duration
	for call := range calls + loopbackWarmUp {
		first, err := timeCall(ctx, client, "http://"+cell.Entries()[0].CallerAddress+path)
		if err != nil {
			return Table{}, err
		}
		second, err := timeCall(ctx, client, "http://"+direct.Address()+path)
		if err != nil {
			return Table{}, err
		}
		if call >= loopbackWarmUp {
			entryTimes, directTimes, addedTimes = append(entryTimes, first), append(directTimes, second), append(addedTimes, first-second)
		}
	}
	return loopbackTable(entryTimes, directTimes, addedTimes), nil
}

func startLoopbackCell(ctx context.Context, runTime fakebackend.Option) (*demonstrator.Cell, error) {
	topology := demonstrator.Topology{
		Name: "loopback", Service: loopbackService, Slots: slotsPerServer, Connections: slotsPerServer * connectionsPerSlot,
		Zones: []demonstrator.ZoneTopology{{ID: "mazatlan", Instances: 1, BackendServers: 12, ServersPerRack: 6}},
	}
	cell, err := demonstrator.NewCell(demonstrator.CellOptions{
		Topology: topology, Seed: 1, BackendOptions: []fakebackend.Option{runTime},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start cell")
	}
	service := describer.Service{
		ID: loopbackService, SlotsPerBackendServer: topology.Slots, ConnectionsPerBackendServer: topology.Connections,
		Kinds: map[describer.KindID]describer.Kind{loopbackKind: {Class: describer.Urgent, ExpectedMilliseconds: 1}},
	}
	ticket := ticketer.Ticket{ID: "loopback", Services: map[describer.ServiceID]*describer.Service{service.ID: &service}}
	if err := cell.Apply(ctx, ticket); err != nil {
		cell.Close()
		return nil, errors.Wrap(err, "apply ticket with the service")
	}
	return cell, nil
}

// timeCall returns the time from sending a request until its whole response has been read.
func timeCall(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	startedAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("GET %s returned status %d", url, response.StatusCode)
	}
	return time.Since(startedAt), nil
}

func loopbackTable(entryTimes, directTimes, addedTimes []time.Duration) Table {
	table := Table{
		Title:   "Added time on loopback",
		Notes:   []string{fmt.Sprintf("%d calls of each kind, one at a time, in wall time.", len(entryTimes))},
		Columns: []string{"figure", "p50", "p99", "p99.9"},
	}
	row := func(name string, times []time.Duration) {
		cells := []any{name}
		for _, wanted := range waitQuantiles {
			cells = append(cells, quantile(times, wanted.q).Round(time.Microsecond).String())
		}
		table.add(cells...)
	}
	row("through an entry instance", entryTimes)
	row("direct", directTimes)
	row("difference of neighbouring calls", addedTimes)
	difference := quantile(entryTimes, 0.99) - quantile(directTimes, 0.99)
	table.Notes = append(table.Notes, fmt.Sprintf(
		"p99 through an entry instance less p99 direct: %s; target below %s: %s.", difference.Round(time.Microsecond), maxAddedTime,
		verdict(difference < maxAddedTime)))
	return table
}
