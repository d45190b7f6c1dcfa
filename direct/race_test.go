//go:build race

package direct_test

// raceDetector is set in a build with the race detector.
const raceDetector = true
