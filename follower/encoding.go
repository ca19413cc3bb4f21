package follower

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

// maxDecodedBytes bounds a configuration that a peer sends, so that it cannot exhaust the memory.
const maxDecodedBytes = 64 << 20

// content is a configuration as instances send it to each other.
type content struct {
	Version                   int64
	Revision                  int64
	Queues                    []specifier.Queue
	CapacityEnforcingServices map[string]bool
	MaxConnections            map[string]int
	MaxBodyBytes              int64
	MaxHeaderBytes            int64
	Teams                     []specifier.Team
}

// Encode returns a configuration in the form in which instances send it to each other. It is compressed: the queues of a large
// configuration are much alike.
func Encode(configuration *specifier.Configuration) ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	sent := content{
		Version: configuration.Version, Revision: configuration.Revision, Queues: configuration.Queues.All(),
		CapacityEnforcingServices: configuration.CapacityEnforcingServices, MaxConnections: configuration.MaxConnections,
		MaxBodyBytes: configuration.MaxBodyBytes, MaxHeaderBytes: configuration.MaxHeaderBytes, Teams: configuration.Teams.All(),
	}
	if err := gob.NewEncoder(compressor).Encode(sent); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return buffer.Bytes(), nil
}

// Decode returns the configuration that Encode has encoded.
func Decode(data []byte) (*specifier.Configuration, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	var received content
	if err := gob.NewDecoder(io.LimitReader(decompressor, maxDecodedBytes)).Decode(&received); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return &specifier.Configuration{
		Version: received.Version, Revision: received.Revision, Queues: specifier.NewQueues(received.Queues...),
		CapacityEnforcingServices: received.CapacityEnforcingServices, MaxConnections: received.MaxConnections,
		MaxBodyBytes: received.MaxBodyBytes, MaxHeaderBytes: received.MaxHeaderBytes, Teams: specifier.NewTeams(received.Teams...),
	}, nil
}
