// Package experiment compares routing policies under load and faults, in virtual
// time, with the real gateway and sidecar code and stand-in engines.
package experiment
