package lister_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
)

// countingReader counts its successful reads and fails while it is down.
type countingReader struct {
	reads int
	down  bool
}

func (r *countingReader) Listing(context.Context) (lister.Listing, error) {
	if r.down {
		return lister.Listing{}, errors.New("list is down")
	}
	r.reads++
	return lister.Listing{Instances: make([]describer.Instance, r.reads)}, nil
}

// TestCacheReadsOnceWithinItsAge guards against an instance that reads the list several times a second, against a
// listing that is too old, and against a cached error.
func TestCacheReadsOnceWithinItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &countingReader{}
		cache := lister.NewCache(reader, time.Second)
		for range 3 {
			instances, err := cache.Instances(t.Context())
			require.NoError(t, err)
			require.Len(t, instances, 1)
			_, err = cache.BackendServers(t.Context())
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		reader.down = true
		_, err := cache.Instances(t.Context())
		require.Error(t, err)
		reader.down = false
		instances, err := cache.Instances(t.Context())
		require.NoError(t, err)
		require.Len(t, instances, 2)
	})
}
