package lister

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/describer"
)

// Reader reads the whole instance list in one call.
type Reader interface {
	Listing(ctx context.Context) (Listing, error)
}

// Cache is a List that several callers in one process share. It reads the list again when the last response has
// reached the maximum age. Sharing saves reads, because a response with 11,000 backend servers has a size of megabytes.
// It is safe for concurrent use.
type Cache struct {
	reader Reader
	age    time.Duration

	mu     sync.Mutex
	last   Listing
	readAt time.Time
}

// NewCache returns a cache whose listings are no older than the given age, apart from the lag of the list itself.
func NewCache(reader Reader, age time.Duration) *Cache {
	return &Cache{reader: reader, age: age}
}

// BackendServers implements List.
func (c *Cache) BackendServers(ctx context.Context) ([]describer.BackendServer, error) {
	listing, err := c.listing(ctx)
	return listing.BackendServers, err
}

// Instances implements List.
func (c *Cache) Instances(ctx context.Context) ([]describer.Instance, error) {
	listing, err := c.listing(ctx)
	return listing.Instances, err
}

// listing returns the last response or reads a new one. Errors are not cached.
func (c *Cache) listing(ctx context.Context) (Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.readAt.IsZero() && now.Sub(c.readAt) < c.age {
		return c.last, nil
	}
	read, err := c.reader.Listing(ctx)
	if err != nil {
		return Listing{}, err
	}
	c.last, c.readAt = read, now
	return read, nil
}
