package matcher

import "egretring.example/egretring/calibrator"

// Places is how many tasks of a gang fit the servers of each class now.
type Places [calibrator.Fast + 1]int

// ForGang returns the preference with which a gang takes servers on which it fits. All members end with the slowest one, so that fast servers
// gain little beside slow ones and are held for as long as these. A gang therefore takes fast servers first only if they hold all of it, and
// slow ones first unless only fast ones hold all of it. If neither do, it starts on servers of both classes, and takes slow ones first.
func (p Preference) ForGang(tasks int, places Places) Preference {
	switch fitsFast := places[calibrator.Fast] >= tasks; {
	case p == FastFirst && !fitsFast:
		return SlowFirst
	case p == SlowFirst && fitsFast && places[calibrator.Slow] < tasks:
		return FastFirst
	default:
		return p
	}
}
