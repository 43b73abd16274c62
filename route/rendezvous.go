package route

// Owner returns the name that owns key by rendezvous hashing (Thaler and Ravishankar, 1998).
// The weight of a name is a hash of the name and the key, and the highest weight wins. When a
// name is removed, only the keys that it owned get another owner. Owner returns "" for no
// names.
func Owner(key string, names []string) string {
	owner, weight := "", uint64(0)
	for _, name := range names {
		if w := pairHash(name, key); owner == "" || w > weight {
			owner, weight = name, w
		}
	}
	return owner
}
