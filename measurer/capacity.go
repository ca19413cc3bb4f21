package measurer

import "egretring.example/egretring/describer"

// Sizes at which the fitted lines are evaluated: those of today and those expected in two years. The cell expected in
// two years is taken as nine equal zones with eight entry instances each.
const (
	capacityZones       = 9
	serversToday        = 48
	serversInZoneToday  = 16
	serversLater        = 11_000
	serversInZoneLater  = 1_222
	membersToday        = 3
	membersLater        = 8
	tasksPerServer      = 20
	tasksInZoneLater    = 24_440
	tasksInZoneToday    = serversInZoneToday * tasksPerServer
	jobsLater           = 160_000
	jobsToday           = 700
	capacityRepetitions = 20_000
)

// CapacityMeasurements lists the measurements of how the cost of each component grows with the size of its input.
func CapacityMeasurements() []Measurement {
	return []Measurement{
		{Name: "requests", Run: capacityTable("Request path and queueing", requestSweeps)},
		{Name: "ownership", Run: capacityTable("Slot ownership", ownershipSweeps)},
		{Name: "peers", Run: capacityTable("Membership messages", peerSweeps)},
		{Name: "placement", Run: capacityTable("Task placement", placementSweeps)},
		{Name: "records", Run: capacityTable("Task records", recordSweeps)},
		{Name: "configuration", Run: capacityTable("Configuration distribution", configurationSweeps)},
		{Name: "platform", Run: capacityTable("Instance list, usage reports and watches", platformSweeps)},
		{Name: "keys", Run: capacityTable("At-most-once records", keySweeps)},
		{Name: "observation", Run: capacityTable("Metrics and traces", observationSweeps)},
	}
}

// capacityTable returns a measurement that runs sweeps with the first seed only, because the figures depend on the
// sizes and hardly on the random choices.
func capacityTable(title string, sweeps func(seed uint64) []sweep) func(seeds []uint64) Table {
	return func(seeds []uint64) Table {
		table := Table{
			Title:   title,
			Columns: []string{"figure", "size counts", "size: figure", "slope", "intercept", "worst error", "today", "two years"},
		}
		for _, one := range sweeps(seeds[0]) {
			one.run(&table)
		}
		return table
	}
}

func capacityServers(count int) []describer.BackendServer {
	return zoneServers(count, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte})
}
