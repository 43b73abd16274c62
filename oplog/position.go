package oplog

import "strconv"

// Position identifies a record in a log of the platform's store by its offset and the
// era of the store. A store that was restored from an older copy starts a later era: it
// reassigns offsets that were already used, so an offset alone is ambiguous. Positions
// are compared as numbers: every position of a later era is greater than all positions
// of an earlier one.
type Position uint64

// offsetBits is the number of bits of the offset, which suffice for 300 records a
// second for a hundred years. The other 24 bits allow 16 million eras.
const offsetBits = 40

// NewPosition returns the position of an offset in an era.
func NewPosition(era, offset uint64) Position { return Position(era<<offsetBits | offset) }

// Era returns the era of the store that the position belongs to. It is 0 for a store
// that reports no era.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the offset in the position's era.
func (p Position) Offset() uint64 { return uint64(p) & (1<<offsetBits - 1) }

// Add returns the position that is the given number of records after p in the same era.
func (p Position) Add(records int) Position { return p + Position(records) }

// String returns the offset, preceded by the era and a colon if the era is not 0.
func (p Position) String() string {
	offset := strconv.FormatUint(p.Offset(), 10)
	if p.Era() == 0 {
		return offset
	}
	return strconv.FormatUint(p.Era(), 10) + ":" + offset
}
