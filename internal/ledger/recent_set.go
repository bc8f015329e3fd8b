package ledger

// recentSet remembers the last identifiers added, up to a fixed number.
type recentSet struct {
	ring  []string
	next  int
	index map[string]struct{}
}

func newRecentSet(size int) *recentSet {
	return &recentSet{ring: make([]string, size), index: make(map[string]struct{})}
}

// add reports whether the identifier was new.
func (set *recentSet) add(id string) bool {
	if _, ok := set.index[id]; ok {
		return false
	}
	if old := set.ring[set.next]; old != "" {
		delete(set.index, old)
	}
	set.ring[set.next] = id
	set.index[id] = struct{}{}
	set.next = (set.next + 1) % len(set.ring)
	return true
}
