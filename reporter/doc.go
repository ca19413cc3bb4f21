// Package reporter defines the views of a cell that operators read, the interfaces through which the other packages
// supply them, and the service behind the operators' API.
package reporter
