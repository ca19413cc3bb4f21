package measurer

import (
	"sync"

	"github.com/pkg/errors"
)

// requestRun names one run.
type requestRun struct {
	shape   string
	load    string
	only    restriction
	variant string
	seed    uint64
}

// requestJob is one run to be made.
type requestJob struct {
	run     requestRun
	shape   requestShape
	load    requestLoad
	variant requestVariant
}

// requestResults holds the figures of all runs.
type requestResults struct {
	seeds []uint64
	runs  map[requestRun]*requestTally
}

// partLoads are the loads with which the parts of the policy are compared.
var partLoads = []string{"swing 4x in 2 s", "stragglers 100x", "overload 3x", "failing servers"}

// RequestOptions say what MeasureRequests measures.
type RequestOptions struct {
	Seeds []uint64
	// Workers is the number of runs made at the same time; it does not change the figures.
	Workers int
	// ChosenOnly leaves out the comparison with other policies.
	ChosenOnly bool
}

// planRequests lists all runs: all loads with the chosen policy and with their reference loads, and some loads with
// the other policies.
func planRequests(options RequestOptions) []requestJob {
	seeds := options.Seeds
	var jobs []requestJob
	add := func(shape requestShape, load requestLoad, variant requestVariant) {
		for _, seed := range seeds {
			run := requestRun{shape: shape.name, load: load.name, only: load.only, variant: variant.name, seed: seed}
			jobs = append(jobs, requestJob{run: run, shape: shape, load: load, variant: variant})
		}
	}
	for _, shape := range requestShapes() {
		for _, load := range requestLoads() {
			add(shape, load, chosenPolicy)
			add(shape, load.restricted(urgentAlone), chosenPolicy)
			add(shape, load.restricted(shortAlone), chosenPolicy)
			for _, variant := range requestVariants()[1:] {
				if !options.ChosenOnly && variant.measuredAt(load.name) {
					add(shape, load, variant)
				}
			}
		}
	}
	return jobs
}

// runAll makes the runs, several at a time. Each run has its own virtual time, so their order does not matter.
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
				tally, err := runRequests(job.shape, job.load, job.variant, job.run.seed)
				mu.Lock()
				results.runs[job.run] = tally
				if err != nil {
					failure = errors.Wrapf(err, "run %+v", job.run)
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

// each calls a function for each seed of a run.
func (r *requestResults) each(run requestRun, value func(*requestTally, requestRun) float64) []float64 {
	values := make([]float64, len(r.seeds))
	for i, seed := range r.seeds {
		run.seed = seed
		values[i] = value(r.runs[run], run)
	}
	return values
}
