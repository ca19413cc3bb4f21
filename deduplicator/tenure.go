package deduplicator

import (
	"slices"
	"time"
)

// maxPlacementChanges limits the changes that are kept. Without a dropped change, a takeover appears to be later than it
// was, so that more retries get OutcomeUnknown than necessary, but no key runs twice.
const maxPlacementChanges = 256

// placementChange holds the placements that apply between its time and that of the next change.
type placementChange struct {
	since      time.Time
	placements []Placement
}

// isHome reports whether this instance is the home of a key by all placements. Without placements it is not.
func (c placementChange) isHome(key Key) bool {
	for _, placement := range c.placements {
		if !placement.isHome(key) {
			return false
		}
	}
	return len(c.placements) > 0
}

// placementHistory lists the changes of the placements, oldest first.
type placementHistory []placementChange

// homeSince returns the time since which this instance has been the home of a key without interruption. It returns false
// when it is not the home now.
func (h placementHistory) homeSince(key Key) (time.Time, bool) {
	var since time.Time
	found := false
	for i := len(h) - 1; i >= 0 && h[i].isHome(key); i-- {
		since, found = h[i].since, true
	}
	return since, found
}

// isCurrent reports whether the placements are those of the latest change.
func (h placementHistory) isCurrent(placements []Placement) bool {
	return len(h) > 0 && slices.EqualFunc(h[len(h)-1].placements, placements, Placement.equal)
}

// trimmed returns the history without the changes that were replaced up to a time, and without the oldest ones beyond
// maxPlacementChanges.
func (h placementHistory) trimmed(before time.Time) placementHistory {
	for len(h) > 1 && (len(h) > maxPlacementChanges || !h[1].since.After(before)) {
		h = h[1:]
	}
	return h
}
