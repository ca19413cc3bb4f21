package watchdog

import "io"

// pieceBytes bounds the data that is read before progress is reported. Some readers, such as that of an HTTP response in
// chunks, otherwise fill the whole buffer of their caller first.
const pieceBytes = 16 << 10

type reader struct {
	source   io.Reader
	watchdog *Watchdog
}

// Read implements io.Reader.
func (r *reader) Read(data []byte) (int, error) {
	n, err := r.source.Read(data[:min(len(data), pieceBytes)])
	if n > 0 {
		r.watchdog.Progress()
	}
	return n, err
}
