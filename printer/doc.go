// Package printer writes the views of the operators' API as tables for people and as JSON for programs.
package printer
