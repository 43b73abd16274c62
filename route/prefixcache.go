package route

import "sync/atomic"

// prefixSlots is the number of prefixes remembered for one prefill engine; it
// must be a power of two.
const prefixSlots = 2048

// PrefixCache is a guess at the prefixes that a prefill engine has cached. It
// is a direct-mapped table: a new prefix overwrites the one in its slot, so it
// stays bounded, and a wrong guess costs only a little speed. Safe for
// concurrent use without locks. The zero value is empty and takes no memory
// until the first prefix.
type PrefixCache struct {
	slots atomic.Pointer[[prefixSlots]atomic.Uint64]
}

// Add notes that a prefix was cached.
func (p *PrefixCache) Add(prefix uint64) {
	slots := p.slots.Load()
	if slots == nil {
		p.slots.CompareAndSwap(nil, new([prefixSlots]atomic.Uint64))
		slots = p.slots.Load()
	}
	slots[prefix%prefixSlots].Store(prefix)
}

// Remove notes that a prefix was dropped.
func (p *PrefixCache) Remove(prefix uint64) {
	if slots := p.slots.Load(); slots != nil {
		slots[prefix%prefixSlots].CompareAndSwap(prefix, 0)
	}
}

// Contains says whether a prefix is thought to be cached.
func (p *PrefixCache) Contains(prefix uint64) bool {
	slots := p.slots.Load()
	return slots != nil && slots[prefix%prefixSlots].Load() == prefix
}
