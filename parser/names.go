package parser

import "strings"

// maxNameBytes is the maximum length of a name. It keeps store keys and URL paths short.
const maxNameBytes = 128

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// nameRule defines which names are allowed.
type nameRule struct {
	characters string
	allowed    string
}

var (
	// plainName excludes ':' because it separates the zone from the rest of an idempotency key.
	plainName = nameRule{nameCharacters, "1 to 128 characters of a-z, A-Z, 0-9, '.', '_' and '-'"}
	// serverName allows ':' as well, because platforms identify machines by address and port.
	serverName = nameRule{nameCharacters + ":", "1 to 128 characters of a-z, A-Z, 0-9, '.', '_', '-' and ':'"}
)

func (n nameRule) matches(name string) bool {
	if name == "" || len(name) > maxNameBytes || name == "." || name == ".." {
		return false
	}
	return strings.Trim(name, n.characters) == ""
}
