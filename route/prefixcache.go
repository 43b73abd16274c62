package route

import "sync/atomic"

// prefixSlots is the number of prefixes remembered for one prefill engine. It must be
// a power of two.
const prefixSlots = 2048

// PrefixCache approximates the set of prefixes that a prefill engine has cached. It
// is a direct-mapped table: a new prefix overwrites the one in its slot. So its size
// is bounded, and a wrong entry costs only a little speed. Safe for concurrent use
// without locks. The zero value is empty and takes no memory until the first prefix
// is added.
type PrefixCache struct {
	slots atomic.Pointer[[prefixSlots]atomic.Uint64]
}

// Add records that a prefix was cached.
func (p *PrefixCache) Add(prefix uint64) {
	slots := p.slots.Load()
	if slots == nil {
		p.slots.CompareAndSwap(nil, new([prefixSlots]atomic.Uint64))
		slots = p.slots.Load()
	}
	slots[prefix%prefixSlots].Store(prefix)
}

// Remove records that a prefix was evicted.
func (p *PrefixCache) Remove(prefix uint64) {
	if slots := p.slots.Load(); slots != nil {
		slots[prefix%prefixSlots].CompareAndSwap(prefix, 0)
	}
}

// Contains reports whether a prefix is thought to be cached.
func (p *PrefixCache) Contains(prefix uint64) bool {
	slots := p.slots.Load()
	return slots != nil && slots[prefix%prefixSlots].Load() == prefix
}
