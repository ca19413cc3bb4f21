// Package assessor tracks the health of a backend server by the outcomes of the runs on it, and temporarily ejects
// servers that fail runs.
package assessor
