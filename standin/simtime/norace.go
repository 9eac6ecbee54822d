//go:build !race

package simtime

const raceDetector = false
