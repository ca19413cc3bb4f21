package checker

import (
	"fmt"
	"strings"
)

const (
	// shownCharacters is how much of a key is shown, enough to find it in a list of keys.
	shownCharacters = 4
	// minMaskedCharacters is the length below which nothing of a key is shown, because too little would stay hidden.
	minMaskedCharacters = 2 * shownCharacters
)

// mask returns a text that shows only the end of a key.
func mask(key string) string {
	if len(key) < minMaskedCharacters {
		return "(short)"
	}
	return "..." + strings.ToValidUTF8(key[len(key)-shownCharacters:], "?")
}

// maskAll returns the count of some keys and their ends.
func maskAll(keys []string) string {
	masked := make([]string, 0, len(keys))
	for _, key := range keys {
		masked = append(masked, mask(key))
	}
	return strings.TrimSpace(fmt.Sprintf("%d: %s", len(keys), strings.Join(masked, " ")))
}
