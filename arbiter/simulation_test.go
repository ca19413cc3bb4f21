package arbiter_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

const (
	teamCount = 20
	// usualShare is the part of its rate that a team usually sends.
	usualShare = 0.8
	// cores of the cell, and how long jobs arrive. Floods last from floodFrom to floodUntil, and jobs of that time are judged.
	cores                = 11_200.0
	traffic              = 36 * time.Second
	floodFrom, floodEnds = 10 * time.Second, 30 * time.Second
	// maxLoss is how much the other teams' share of jobs in time may fall.
	maxLoss = 0.02
	simTick = 10 * time.Millisecond
)

// jobKind is a kind of job of the first customer. Run times differ by spread within a step, and estimates by wrong.
type jobKind struct {
	perSecond, steps, tasks, widest, seconds, cores, stretch float64
	latency                                                  time.Duration
	priority                                                 int
	gang                                                     float64
	wrong                                                    float64
}

var kinds = []jobKind{
	{3.57, 1.2, 16, 80, 6.2, 9, 2.2, time.Second, 1, 1, 0.5},
	{16.1, 1.5, 25, 150, 2.2, 3.5, 4, 3 * time.Second, 2, 0, 0.5},
	{103, 1, 3, 12, 0.64, 5, 1.5, 300 * time.Millisecond, 0, 0.3, 0.9},
}

// scenario is a load beside the usual one.
type scenario struct {
	name string
	// floods has the factor of each team that sends more than usual.
	floods map[int]float64
	// wide is a team that sends only its widest jobs in a burst of two seconds, at five times its usual rate.
	wide int
	// lost is the part of the capacity that is lost in the middle.
	lost float64
	// quota is how many times its mean need a team may run at a time; zero if there is no limit.
	quota float64
}

type simJob struct {
	team                int
	kind                jobKind
	accepted, objective time.Duration
	// steps are left after the present one; left and running are its tasks that wait and run. begun counts all runs.
	steps, tasks, left, running, begun int
	estimate                           time.Duration
	gang                               bool
	runs                               []time.Duration
	ended                              time.Duration
	rank                               arbiter.Rank[*simJob]
}

type simRun struct {
	at, took time.Duration
	job      *simJob
	charge   arbiter.Charge
}

type runHeap []simRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(simRun)) }
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func lognormal(r *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
}

// weightOf returns the rate of a team: a few teams are large.
func weightOf(team int) float64 {
	total, jobs := 0.0, 0.0
	for i := range teamCount {
		total += math.Pow(float64(i+1), -0.8)
	}
	for _, kind := range kinds {
		jobs += kind.perSecond
	}
	return jobs / usualShare * math.Pow(float64(team+1), -0.8) / total
}

// jobsOf returns the jobs of a team. The same are drawn in each scenario, and more where the team floods.
func jobsOf(s scenario, team int) (jobs []*simJob) {
	draw := func(r *rand.Rand, factor float64, from, until time.Duration, wide bool) {
		for _, kind := range kinds {
			rate := kind.perSecond * factor * weightOf(team) / (weightOf(0) * sumOfWeights())
			for at := from.Seconds() + r.ExpFloat64()/rate; at < until.Seconds(); at += r.ExpFloat64() / rate {
				tasks := math.Min(kind.widest, 1+r.ExpFloat64()*(kind.tasks-1))
				if wide {
					tasks = kind.widest
				}
				j := &simJob{team: team, kind: kind, accepted: time.Duration(at * float64(time.Second)), tasks: int(tasks), left: int(tasks)}
				if r.Float64() < kind.steps-1 {
					j.steps = 1
				}
				j.gang = r.Float64() < kind.gang
				mean := lognormal(r, kind.seconds, 0.3)
				j.objective = time.Duration(kind.stretch*mean*float64(j.steps+1)*float64(time.Second)) + kind.latency
				j.estimate = time.Duration(lognormal(r, mean, kind.wrong) * float64(time.Second))
				for range j.tasks * (j.steps + 1) {
					j.runs = append(j.runs, time.Duration(lognormal(r, mean, 0.2)*float64(time.Second)))
				}
				jobs = append(jobs, j)
			}
		}
	}
	draw(rand.New(rand.NewPCG(1, uint64(team))), 1, 0, traffic, false)
	if factor := s.floods[team]; factor > 1 {
		draw(rand.New(rand.NewPCG(2, uint64(team))), factor-1, floodFrom, floodEnds, false)
	}
	if s.wide > 0 && team == s.wide {
		draw(rand.New(rand.NewPCG(3, uint64(team))), 5, floodFrom, floodFrom+2*time.Second, true)
	}
	return jobs
}

func sumOfWeights() (sum float64) {
	for i := range teamCount {
		sum += weightOf(i) / weightOf(0)
	}
	return sum
}

// policy is an order to compare.
type policy string

const (
	fair    policy = "teams"
	present policy = "present order"
	arrival policy = "first come, first served"
)

// play simulates a scenario in virtual time and returns all jobs. The cell is one pool of cores.
func play(s scenario, order policy) []*simJob {
	a, rates := arbiter.New(), rater.New()
	var teams []specifier.Team
	arrivals := make(map[time.Duration][]*simJob)
	var jobs []*simJob
	limits := limitsOf(s)
	for team := range teamCount {
		teams = append(teams, specifier.Team{Name: fmt.Sprint(team), Weight: weightOf(team)})
		for _, j := range jobsOf(s, team) {
			// A gang that its team may never run is refused at once; here it runs in waves instead.
			j.gang = j.gang && float64(j.tasks)*j.kind.cores <= limits[team]
			tick := j.accepted.Truncate(simTick)
			arrivals[tick] = append(arrivals[tick], j)
			j.rank = arbiter.Rank[*simJob]{Value: j, Service: "s", Priority: j.kind.priority, Step: specifier.StepID{Job: specifier.JobID(fmt.Sprintf("%06d", len(jobs)))}}
			jobs = append(jobs, j)
		}
	}
	set := specifier.NewTeams(teams...)
	a.SetTeams(set)
	rates.SetTeams(set)
	a.SetCapacity("s", specifier.Resources{MilliCores: cores * 1000})
	free, lost := cores, false
	var runs runHeap
	waiting := make(map[*simJob]bool)
	for now := time.Duration(0); now < traffic || len(waiting) > 0 || len(runs) > 0; now += simTick {
		if s.lost > 0 && !lost && now >= (floodFrom+floodEnds)/2 {
			lost = true
			free, runs = lose(s, free, runs, waiting)
			a.SetCapacity("s", specifier.Resources{MilliCores: int64(cores * (1 - s.lost) * 1000)})
		}
		for len(runs) > 0 && runs[0].at <= now {
			r := heap.Pop(&runs).(simRun)
			free += r.job.kind.cores
			limits[r.job.team] += r.job.kind.cores
			a.End(r.charge, r.took)
			r.job.running--
			switch {
			case r.job.running > 0 || r.job.left > 0:
			case r.job.steps == 0:
				r.job.ended = now
			default:
				r.job.steps--
				r.job.left = r.job.tasks
				waiting[r.job] = true
			}
		}
		for _, j := range arrivals[now] {
			waiting[j] = true
			if order == fair {
				j.rank.Team = fmt.Sprint(j.team)
			}
		}
		if free >= 3.5 {
			free = pass(a, rates, order, now, waiting, free, limits, &runs)
		}
	}
	return jobs
}

// limitsOf returns how many cores each team may run.
func limitsOf(s scenario) []float64 {
	limits := make([]float64, teamCount)
	for team := range limits {
		for _, j := range jobsOf(scenario{}, team) {
			for _, took := range j.runs {
				limits[team] += s.quota * took.Seconds() * j.kind.cores / traffic.Seconds()
			}
		}
		if s.quota == 0 {
			limits[team] = math.Inf(1)
		}
	}
	return limits
}

// lose loses a part of the servers. Every second run, for a half, is on one of them and has to start again.
func lose(s scenario, free float64, runs runHeap, waiting map[*simJob]bool) (float64, runHeap) {
	random := rand.New(rand.NewPCG(4, 4))
	free *= 1 - s.lost
	var kept runHeap
	for _, r := range runs {
		if random.Float64() >= s.lost {
			kept = append(kept, r)
			continue
		}
		r.job.running--
		r.job.left++
		waiting[r.job] = true
	}
	heap.Init(&kept)
	return free, kept
}

// pass places what fits. Capacity is held for the first gang of each priority that does not fit, as conductor does.
func pass(a *arbiter.Arbiter, rates *rater.Rater, order policy, now time.Duration, waiting map[*simJob]bool, free float64, limits []float64, runs *runHeap) float64 {
	ranks := make([]*arbiter.Rank[*simJob], 0, len(waiting))
	for j := range waiting {
		left := j.steps + 1
		latest := j.accepted + time.Duration(j.kind.stretch*float64(len(j.runs)/j.tasks)*float64(j.estimate)) + j.kind.latency - time.Duration(left)*j.estimate
		j.rank.LatestStart = time.Unix(0, int64(latest))
		j.rank.Tier = arbiter.OnTime
		switch {
		case order == arrival:
			j.rank.LatestStart, j.rank.Priority = time.Unix(0, int64(j.accepted)), 0
		case now > j.accepted+3*j.objective:
			j.rank.Tier = arbiter.Worthless
		case now > latest:
			j.rank.Tier = arbiter.Overdue
		}
		ranks = append(ranks, &j.rank)
	}
	arbiter.MarkBeyond(ranks, func(team string, waiting int) int { return rates.Tokens(time.Unix(0, int64(now)), team, waiting) })
	held := 0.0
	heldFor := math.MaxInt
	o := arbiter.Arrange(a, ranks, true)
	for r, ok := o.Next(); ok && free >= 3.5; r, ok = o.Next() {
		j := r.Value
		usable := free
		if j.kind.priority >= heldFor {
			usable -= held
		}
		limit := limits[j.team]
		if wanted := float64(j.left) * j.kind.cores; j.gang && wanted > limit {
			continue
		} else if j.gang && wanted > usable {
			if held == 0 && !r.Beyond && r.Tier == arbiter.OnTime {
				held, heldFor = wanted, j.kind.priority
			}
			continue
		}
		for ; j.left > 0 && min(usable, limits[j.team]) >= j.kind.cores; j.left-- {
			if r.Team != "" && !r.Beyond && !r.Paid {
				r.Paid = true
				rates.Take(r.Team)
			}
			charge := arbiter.Start(a, r, specifier.Resources{MilliCores: int64(j.kind.cores * 1000)}, j.estimate)
			took := j.runs[j.begun%len(j.runs)]
			j.begun++
			j.running++
			free -= j.kind.cores
			usable -= j.kind.cores
			limits[j.team] -= j.kind.cores
			heap.Push(runs, simRun{at: now + took, took: took, job: j, charge: charge})
		}
		if j.left == 0 {
			delete(waiting, j)
		}
	}
	return free
}

// isFlooding reports whether the team sends more than its usual load.
func (s scenario) isFlooding(team int) bool {
	return s.floods[team] > 1 || s.wide > 0 && s.wide == team
}

// inTime returns the share of jobs in time of the teams that send their usual load, and of the others.
func inTime(s scenario, jobs []*simJob) (others, flooding float64) {
	count, met := [2]float64{}, [2]float64{}
	for _, j := range jobs {
		if j.accepted < floodFrom || j.accepted > floodEnds {
			continue
		}
		i := 0
		if s.isFlooding(j.team) {
			i = 1
		}
		count[i]++
		if j.ended <= j.accepted+j.objective {
			met[i]++
		}
	}
	return met[0] / count[0], met[1] / cmp.Or(count[1], 1)
}

// requireRateIsServed checks that a flooding team has at least as many jobs in time as its rate, with the share in time of its usual load.
func requireRateIsServed(t *testing.T, s scenario, before, after []*simJob) {
	for team := range teamCount {
		if !s.isFlooding(team) {
			continue
		}
		only := scenario{floods: map[int]float64{team: 2}}
		counted := func(jobs []*simJob) (sent, share float64) {
			for _, j := range jobs {
				if j.team == team && j.accepted >= floodFrom && j.accepted <= floodEnds {
					sent++
				}
			}
			_, share = inTime(only, jobs)
			return sent, share
		}
		_, usual := counted(before)
		sent, share := counted(after)
		worth := min(sent, weightOf(team)*(floodEnds-floodFrom).Seconds()) * usual
		t.Logf("team %d: %.0f of %.0f jobs in time, its rate is worth %.0f", team, sent*share, sent, worth)
		require.GreaterOrEqual(t, sent*share, worth*(1-maxLoss))
	}
}

// TestFloodOfOneTeamDoesNotHarmOthers guards against a team whose flood makes jobs of other teams late, against one that has fewer jobs in
// time than its rate, and against a step that never starts. The baselines show that the loads do harm without an order between teams.
func TestFloodOfOneTeamDoesNotHarmOthers(t *testing.T) {
	for _, s := range []scenario{
		{name: "one team at 5 times its load", floods: map[int]float64{0: 5}},
		{name: "one team at 7.5 times its load", floods: map[int]float64{2: 7.5}},
		{name: "two teams at 7.5 and 5 times their load", floods: map[int]float64{1: 7.5, 4: 5}},
		{name: "burst of wide jobs", wide: 1},
		{name: "one team at 5 times its load, quotas", floods: map[int]float64{0: 5}, quota: 1.9},
		{name: "two teams at 7.5 and 5 times their load, quotas", floods: map[int]float64{1: 7.5, 4: 5}, quota: 1.9},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			requireOthersUnharmed(t, s)
		})
	}
}

// TestFloodWhileCapacityIsLost guards against the same with half of the capacity lost in the middle.
func TestFloodWhileCapacityIsLost(t *testing.T) {
	requireOthersUnharmed(t, scenario{floods: map[int]float64{0: 5}, lost: 0.5})
}

func requireOthersUnharmed(t *testing.T, s scenario) {
	for _, order := range []policy{arrival, present, fair} {
		before, after := play(scenario{lost: s.lost, quota: s.quota}, order), play(s, order)
		for _, j := range after {
			require.NotZero(t, j.ended, "every step starts")
		}
		othersBefore, _ := inTime(s, before)
		others, flooding := inTime(s, after)
		t.Logf("%s: others %.4f in time, %.4f without the flood; flooding teams %.4f", order, others, othersBefore, flooding)
		if order == fair {
			require.GreaterOrEqual(t, others, othersBefore-maxLoss)
			if s.lost == 0 {
				requireRateIsServed(t, s, before, after)
			}
		}
	}
}
