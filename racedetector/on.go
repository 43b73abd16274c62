//go:build race

package racedetector

// On is whether the detector watches.
const On = true
