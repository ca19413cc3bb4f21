package follower

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Update is what a follower knows after a call to the store.
type Update struct {
	// Configuration is the newest configuration; it is nil until one has been read.
	Configuration *specifier.Configuration
	// NoticedAt is when the change was noticed that led to the configuration.
	NoticedAt time.Time
	// Served reports whether the store served the last call to it.
	Served bool
}
