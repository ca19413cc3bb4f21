// Package fakekeeper is a stand-in for the platform's configuration store, in memory and over HTTP.
package fakekeeper
