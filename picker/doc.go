// Package picker chooses the backend server of each attempt within this instance's shares of the servers, and ejects
// servers that fail.
package picker
