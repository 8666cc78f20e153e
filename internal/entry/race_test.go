//go:build race

package entry

// raceDetector tells that the test is built with the race detector, whose shadow memory counts in every measurement.
const raceDetector = true
