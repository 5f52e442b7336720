// Package rowversion orders the versions of a store that can come back from an older copy of its content.
//
// The store counts its transactions, and gives the numbers after those of the copy out again. Each time it comes back it
// enters a new era. A number of transactions alone says nothing without its era.
package rowversion

import "fmt"

// counterBits is the number of bits for the count of transactions; the others hold the era.
const counterBits = 40

// Version is a version of the store, ordered by its era and then by its count of transactions. 0 is lower than any
// version that a row has.
type Version uint64

// New returns the version with the given era and count of transactions, which must be below 2^40.
func New(era, counter uint64) Version { return Version(era<<counterBits | counter) }

// Era returns the era.
func (v Version) Era() uint64 { return uint64(v) >> counterBits }

// Counter returns the count of transactions.
func (v Version) Counter() uint64 { return uint64(v) & (1<<counterBits - 1) }

// String returns the era and the count of transactions.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era(), v.Counter()) }
