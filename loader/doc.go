// Package loader reads the daemon's settings, written in JSON with comments, and checks every field.
package loader
