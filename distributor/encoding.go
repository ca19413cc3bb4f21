package distributor

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"egretring.example/egretring/ticketer"
)

// maxSnapshotBytes bounds the uncompressed size of a snapshot that is read; 160,000 jobs take 35 MB.
const maxSnapshotBytes = 1 << 30

// encodeSnapshot returns a snapshot as compressed JSON. The fastest compression level is enough, because jobs differ
// little.
func encodeSnapshot(snapshot ticketer.Snapshot) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := json.NewEncoder(writer).Encode(snapshot); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buffer.Bytes(), nil
}

func decodeSnapshot(encoded []byte) (ticketer.Snapshot, error) {
	var snapshot ticketer.Snapshot
	reader, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return snapshot, errors.Wrap(err, "decompress snapshot")
	}
	err = json.NewDecoder(io.LimitReader(reader, maxSnapshotBytes)).Decode(&snapshot)
	return snapshot, errors.Wrap(err, "decode snapshot")
}
