package generator

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// spread is the standard deviation of the logarithm of run times. It gives a 95th percentile of about twice the
	// median.
	spread = 0.4
	// stragglerShare and stragglerFactor make five in a thousand requests run 20 times as long as the others.
	stragglerShare  = 0.005
	stragglerFactor = 20

	// The timeouts exceed the run time of most stragglers of the class.
	urgentTimeout     = 2 * time.Second
	standardTimeout   = 10 * time.Second
	deferrableTimeout = 5 * time.Minute

	// defaultPerSecond keeps about half of the slots of 48 backend servers with 8 slots each busy.
	defaultPerSecond   = 1500
	defaultDuration    = time.Minute
	defaultCancelShare = 0.002
)

// Tumbonas returns the load of the deployment tumbonas, one of the two that egretring is sized for. Long requests are
// rare, but take more than half of the slots' time.
func Tumbonas() Load {
	return deployment("tally", []describer.AvailabilityZoneID{"mazatlan", "vallarta", "acapulco", "huatulco"}, []Kind{
		kindOf("count", describer.Urgent, 0.8, 20*time.Millisecond),
		kindOf("charge", describer.Urgent, 0.12, 50*time.Millisecond).nonRepeatable(),
		kindOf("audit", describer.Standard, 0.07, 400*time.Millisecond),
		kindOf("reconcile", describer.Deferrable, 0.006, 5*time.Second),
		kindOf("merge", describer.Deferrable, 0.004, 8*time.Second),
	})
}

// Hronov returns the load of the deployment hronov, the other deployment that egretring is sized for.
func Hronov() Load {
	return deployment("pletac", []describer.AvailabilityZoneID{"hala-a", "hala-b", "sklad"}, []Kind{
		kindOf("label", describer.Urgent, 0.78, 15*time.Millisecond),
		kindOf("issue", describer.Urgent, 0.12, 30*time.Millisecond).nonRepeatable(),
		kindOf("tension", describer.Standard, 0.09, 250*time.Millisecond),
		kindOf("layout", describer.Deferrable, 0.01, 6*time.Second),
	})
}

// DefaultLoadSwings returns two load swings for a load that lasts a minute: one that rises to three times the load
// within two seconds, and a shorter one that rises to five times the load within one second.
func DefaultLoadSwings() []LoadSwing {
	return []LoadSwing{
		{From: 15 * time.Second, Rise: 2 * time.Second, Hold: 10 * time.Second, Fall: 3 * time.Second, Factor: 3},
		{From: 42 * time.Second, Rise: time.Second, Hold: 3 * time.Second, Fall: 2 * time.Second, Factor: 5},
	}
}

func deployment(service describer.ServiceID, zones []describer.AvailabilityZoneID, kinds []Kind) Load {
	return Load{
		Service:           service,
		AvailabilityZones: zones,
		Kinds:             kinds,
		Teams:             []Team{{ID: "front-office", Weight: 0.6}, {ID: "back-office", Weight: 0.3}, {ID: "planning", Weight: 0.1}},
		PerSecond:         defaultPerSecond,
		Duration:          defaultDuration,
		LoadSwings:        DefaultLoadSwings(),
		CancelShare:       defaultCancelShare,
	}
}

func kindOf(id describer.KindID, class describer.Class, share float64, median time.Duration) Kind {
	timeouts := [describer.ClassCount]time.Duration{urgentTimeout, standardTimeout, deferrableTimeout}
	return Kind{
		ID: id, Class: class, Weight: share, Repeatable: true, Timeout: timeouts[class],
		RunTime: RunTime{
			Median: median, Spread: spread, StragglerShare: stragglerShare, StragglerFactor: stragglerFactor,
		},
	}
}

// nonRepeatable returns a copy of a kind that is not repeatable.
func (k Kind) nonRepeatable() Kind {
	k.Repeatable = false
	return k
}
