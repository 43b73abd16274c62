package route

// Owner returns the name that owns key by rendezvous hashing (Thaler and
// Ravishankar, 1998): each name's weight is a hash of both, the highest wins,
// and when a name goes only its own keys move. It returns "" for no names.
func Owner(key string, names []string) string {
	owner, weight := "", uint64(0)
	for _, name := range names {
		if w := pairHash(name, key); owner == "" || w > weight {
			owner, weight = name, w
		}
	}
	return owner
}
