// Package admitter decides on arrival whether a request can be answered before its deadline and within the limits of
// its service, team and class.
package admitter
