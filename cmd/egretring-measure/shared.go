package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// parseSeeds returns the seeds of a comma-separated list.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, field := range strings.Split(text, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "seed %q", field)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// isSelected reports whether a measurement is in a comma-separated list of names; an empty list selects all.
func isSelected(name, only string) bool {
	return only == "" || strings.Contains(","+only+",", ","+name+",")
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes, or "unknown" where the system does not
// report them.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(content))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
