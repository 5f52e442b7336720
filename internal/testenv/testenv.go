// Package testenv reads the environment variables with which a run of a randomised test is repeated, and builds the
// daemon for tests that run it as a process.
package testenv

import (
	"os"
	"strconv"
	"testing"
)

// Seed returns HYSSOPHOIST_SEED, or fallback if it is not set. A value that is not a number ends the test.
func Seed(t testing.TB, fallback uint64) uint64 {
	t.Helper()
	return uintVariable(t, "HYSSOPHOIST_SEED", fallback)
}

// Steps returns HYSSOPHOIST_STEPS, or fallback if it is not set. A value that is not a number ends the test.
func Steps(t testing.TB, fallback uint64) uint64 {
	t.Helper()
	return uintVariable(t, "HYSSOPHOIST_STEPS", fallback)
}

func uintVariable(t testing.TB, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("parse environment variable %s: %v", name, err)
	}
	return value
}
