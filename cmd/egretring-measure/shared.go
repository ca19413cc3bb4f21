package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// parseSeeds returns the seeds of a list that is separated by commas.
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

// isSelected reports whether a measurement is in a list of names that is separated by commas; an empty list has all.
func isSelected(name, only string) bool {
	return only == "" || strings.Contains(","+only+",", ","+name+",")
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes, where the system gives them.
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(content))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
