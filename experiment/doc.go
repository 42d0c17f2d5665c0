// Package experiment compares routing policies under load and faults. It runs the real
// gateway and sidecar code with stand-in engines in virtual time.
package experiment
