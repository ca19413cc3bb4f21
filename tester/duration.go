package tester

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration in a file of test cases, such as "300ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.Wrap(err, "decode duration")
}
