package specifier_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestQueueIsFoundAsByFullSearch guards against an index of queues that finds another queue than the one with the longest
// prefix, with a fixed seed.
func TestQueueIsFoundAsByFullSearch(t *testing.T) {
	const seed = 20261204
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	path := func() string { return "/" + strings.Repeat("a", random.IntN(4)) + strings.Repeat("b", random.IntN(3)) }
	for range 200 {
		var list []specifier.Queue
		for i := range random.IntN(30) {
			list = append(list, specifier.Queue{
				Name: fmt.Sprint("q", random.IntN(20)), Host: fmt.Sprint("h", random.IntN(3)), Prefix: path()[random.IntN(2):], Priority: i,
			})
		}
		queues := specifier.NewQueues(list...)
		for range 50 {
			host, path := fmt.Sprint("h", random.IntN(4)), path()
			var want specifier.Queue
			for _, queue := range list {
				if queue.Host == host && strings.HasPrefix(path, queue.Prefix) && len(queue.Prefix) > len(want.Prefix) {
					want = queue
				}
			}
			got, found := queues.For(host, path)
			require.Equal(t, want, got)
			require.Equal(t, want.Prefix != "", found)
		}
		for _, queue := range list {
			named, found := queues.Named(queue.Name)
			require.True(t, found)
			require.Equal(t, queue.Name, named.Name)
		}
	}
}

// BenchmarkQueueFor measures the search for a queue among those of a large configuration.
func BenchmarkQueueFor(b *testing.B) {
	var list []specifier.Queue
	for i := range 5000 {
		list = append(list, specifier.Queue{Name: fmt.Sprint(i), Host: fmt.Sprint("h", i%100), Prefix: fmt.Sprintf("/%05d/", i)})
	}
	queues := specifier.NewQueues(list...)
	for b.Loop() {
		queues.For("h99", "/04999/0123456789abcdef")
	}
}
