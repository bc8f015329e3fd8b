package ledger

// recentSet is a set of the most recently added identifiers, with a fixed
// capacity. When the set is full, adding an identifier evicts the oldest one.
type recentSet struct {
	ring  []string
	next  int
	index map[string]struct{}
}

func newRecentSet(size int) *recentSet {
	return &recentSet{ring: make([]string, size), index: make(map[string]struct{})}
}

// add adds an identifier and reports whether it was not yet in the set.
func (set *recentSet) add(id string) bool {
	if _, ok := set.index[id]; ok {
		return false
	}
	if oldest := set.ring[set.next]; oldest != "" {
		delete(set.index, oldest)
	}
	set.ring[set.next] = id
	set.index[id] = struct{}{}
	set.next = (set.next + 1) % len(set.ring)
	return true
}
