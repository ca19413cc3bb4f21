// Package generator generates seeded load: arrivals of requests with their kinds, classes, keys and run times.
package generator
