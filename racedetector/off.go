//go:build !race

package racedetector

// On is whether the race detector is enabled.
const On = false
