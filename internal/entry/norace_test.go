//go:build !race

package entry

const raceDetector = false
