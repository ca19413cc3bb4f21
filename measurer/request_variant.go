package measurer

import (
	"slices"

	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/picker"
)

// requestVariant is a policy of the dispatcher, as options of its constructor.
type requestVariant struct {
	name    string
	options []dispatcher.Option
	// loads are the loads at which the policy is measured; nil means all comparisonLoads.
	loads []string
}

// loadsWithFailures and loadsWithoutFailures are the comparison loads with and without failing backend servers. Parts
// of the policy that act only on failures are not measured without them, and the other parts are not measured with
// them.
var (
	loadsWithFailures    = []string{"failing servers"}
	loadsWithoutFailures = []string{"swing 4x in 2 s", "stragglers 100x", "overload 3x"}
)

// measuredAt reports whether the policy is measured at a load.
func (v requestVariant) measuredAt(load string) bool {
	return slices.Contains(comparisonLoads, load) && (v.loads == nil || slices.Contains(v.loads, load))
}

// chosenPolicy is the default policy of the dispatcher.
var chosenPolicy = requestVariant{name: "chosen"}

// requestVariants returns the chosen policy, the policy without each of its parts, and the baselines.
func requestVariants() []requestVariant {
	variant := func(name string, option dispatcher.Option, loads []string) requestVariant {
		return requestVariant{name: name, options: []dispatcher.Option{option}, loads: loads}
	}
	return []requestVariant{
		chosenPolicy,
		variant("no urgent reserve", dispatcher.WithoutUrgentReserve(), loadsWithoutFailures),
		variant("no long cap", dispatcher.WithoutLongCap(), loadsWithoutFailures),
		variant("no class weights", dispatcher.WithoutClassWeights(), loadsWithoutFailures),
		variant("no ageing", dispatcher.WithoutAgeing(), loadsWithoutFailures),
		variant("no shortest first", dispatcher.WithoutShortestFirst(), loadsWithoutFailures),
		variant("no learned estimates", dispatcher.WithoutLearnedEstimates(), loadsWithoutFailures),
		variant("no ejection", dispatcher.WithoutEjection(), loadsWithFailures),
		variant("no adaptive admission", dispatcher.WithoutAdaptiveAdmission(), loadsWithoutFailures),
		variant("no retry budget", dispatcher.WithoutRetryBudget(), loadsWithFailures),
		variant("no relays", dispatcher.WithoutRelays(), loadsWithoutFailures),
		variant("two random choices", dispatcher.WithPickRule(picker.TwoChoices), nil),
		variant("baseline FIFO", dispatcher.WithFIFOBaseline(), nil),
		variant("baseline priority", dispatcher.WithPriorityBaseline(), nil),
	}
}
