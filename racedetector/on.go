//go:build race

package racedetector

// Enabled is whether the race detector is enabled.
const Enabled = true
