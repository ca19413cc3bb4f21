// Package assessor judges a backend server by how the runs on it end, and sets servers that fail runs aside for a time.
package assessor
