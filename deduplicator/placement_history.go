package deduplicator

import (
	"slices"
	"time"
)

// maxTenures bounds the remembered changes. Forgetting an old one makes a takeover look later, which only makes more
// keys unknown.
const maxTenures = 256

// tenure is a time from which on some placements held.
type tenure struct {
	since      time.Time
	placements []Placement
}

// isHome reports whether this instance is the home of a key by all placements. Without placements it is not.
func (t tenure) isHome(key Key) bool {
	for _, placement := range t.placements {
		if !placement.isHome(key) {
			return false
		}
	}
	return len(t.placements) > 0
}

// tenures are the changes of the placements, oldest first.
type tenures []tenure

// homeSince returns since when this instance has been the home of a key without interruption. It reports false when it
// is not the home now.
func (t tenures) homeSince(key Key) (time.Time, bool) {
	var since time.Time
	found := false
	for i := len(t) - 1; i >= 0 && t[i].isHome(key); i-- {
		since, found = t[i].since, true
	}
	return since, found
}

// holds reports whether the placements are those of the latest change.
func (t tenures) holds(placements []Placement) bool {
	return len(t) > 0 && slices.EqualFunc(t[len(t)-1].placements, placements, Placement.equal)
}

// trimmed drops the changes that were replaced before a time, and the oldest beyond the bound.
func (t tenures) trimmed(before time.Time) tenures {
	for len(t) > 1 && (len(t) > maxTenures || !t[1].since.After(before)) {
		t = t[1:]
	}
	return t
}
