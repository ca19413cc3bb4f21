package watchdog

import "io"

type reader struct {
	source   io.Reader
	watchdog *Watchdog
}

// Read implements io.Reader.
func (r *reader) Read(data []byte) (int, error) {
	n, err := r.source.Read(data)
	if n > 0 {
		r.watchdog.Progress()
	}
	return n, err
}
