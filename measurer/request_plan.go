package measurer

import (
	"sync"

	"github.com/pkg/errors"
)

// requestRun identifies one run of a load in a topology with a policy and a seed.
type requestRun struct {
	topology string
	load     string
	only     restriction
	variant  string
	seed     uint64
}

// requestJob is one run to be made, with its inputs.
type requestJob struct {
	run      requestRun
	topology requestTopology
	load     requestLoad
	variant  requestVariant
}

// requestResults holds the figures of all runs.
type requestResults struct {
	seeds []uint64
	runs  map[requestRun]*requestTally
}

// comparisonLoads are the loads at which the policies are compared.
var comparisonLoads = []string{"swing 4x in 2 s", "stragglers 100x", "overload 3x", "failing servers"}

// RequestOptions say what MeasureRequests measures.
type RequestOptions struct {
	Seeds []uint64
	// Workers is the number of runs made at the same time; it does not change the figures.
	Workers int
	// ChosenOnly leaves out the comparison with other policies.
	ChosenOnly bool
}

// planRequests lists all runs: all loads and their reference loads with the chosen policy, and the comparison loads
// with the other policies.
func planRequests(options RequestOptions) []requestJob {
	seeds := options.Seeds
	var jobs []requestJob
	add := func(topology requestTopology, load requestLoad, variant requestVariant) {
		for _, seed := range seeds {
			run := requestRun{topology: topology.name, load: load.name, only: load.only, variant: variant.name, seed: seed}
			jobs = append(jobs, requestJob{run: run, topology: topology, load: load, variant: variant})
		}
	}
	for _, topology := range requestTopologies() {
		for _, load := range requestLoads() {
			add(topology, load, chosenPolicy)
			add(topology, load.restricted(urgentAlone), chosenPolicy)
			add(topology, load.restricted(shortAlone), chosenPolicy)
			for _, variant := range requestVariants()[1:] {
				if !options.ChosenOnly && variant.measuredAt(load.name) {
					add(topology, load, variant)
				}
			}
		}
	}
	return jobs
}

// runAll makes the runs, several at a time. Each run has its own virtual time, so their order does not change the
// figures.
func runAll(seeds []uint64, jobs []requestJob, workers int) (*requestResults, error) {
	results := &requestResults{seeds: seeds, runs: make(map[requestRun]*requestTally)}
	var (
		mu      sync.Mutex
		failure error
		group   sync.WaitGroup
	)
	pending := make(chan requestJob)
	for range workers {
		group.Go(func() {
			for job := range pending {
				tally, err := runRequests(job.topology, job.load, job.variant, job.run.seed)
				mu.Lock()
				results.runs[job.run] = tally
				if err != nil {
					failure = errors.Wrapf(err, "simulate run %+v", job.run)
				}
				mu.Unlock()
			}
		})
	}
	for _, job := range jobs {
		pending <- job
	}
	close(pending)
	group.Wait()
	return results, failure
}

// perSeed returns a value of the run for each seed.
func (r *requestResults) perSeed(run requestRun, value func(*requestTally, requestRun) float64) []float64 {
	values := make([]float64, len(r.seeds))
	for i, seed := range r.seeds {
		run.seed = seed
		values[i] = value(r.runs[run], run)
	}
	return values
}
