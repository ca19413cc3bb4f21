// Package picker chooses the backend server of each attempt within the owned shares, and ejects servers that fail.
package picker
