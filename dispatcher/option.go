package dispatcher

// Option changes how a Dispatcher is built.
type Option func(*Dispatcher)

// WithSeed sets the seed of the random source.
func WithSeed(seed uint64) Option {
	return func(d *Dispatcher) { d.seed = seed }
}
