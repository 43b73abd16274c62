package oplog

import "strconv"

// Position is a place in a log of the platform's store: an offset, in one era of the
// store. After the store has come back from an older copy it is in a later era: offsets
// have gone back and are given out again, so an offset alone says nothing. Positions
// compare as numbers, a later era before all offsets of an earlier one.
type Position uint64

// offsetBits leaves 24 bits for the era: 16 million times from a copy, and a hundred
// years of 300 records a second.
const offsetBits = 40

// At returns the position of an offset in an era.
func At(era, offset uint64) Position { return Position(era<<offsetBits | offset) }

// Era returns the era of the store that the position belongs to; 0 for a store that
// tells none.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the offset in the position's era.
func (p Position) Offset() uint64 { return uint64(p) & (1<<offsetBits - 1) }

// Add returns the position so many records further on.
func (p Position) Add(records int) Position { return p + Position(records) }

// String writes an era, if there is one, and the offset.
func (p Position) String() string {
	offset := strconv.FormatUint(p.Offset(), 10)
	if p.Era() == 0 {
		return offset
	}
	return strconv.FormatUint(p.Era(), 10) + ":" + offset
}
