//go:build race

package main

// raceDetector reports whether the tests and the gateways that they start run under the race detector, which slows them by
// as much as throttle does.
const raceDetector = true
