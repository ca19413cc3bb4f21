// Package printer writes the views of the operators' API and the results of a demo as tables for people, and any value
// as JSON for programs.
package printer
