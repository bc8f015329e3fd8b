package store

import "strings"

// Groups collects values by a prefix of the keys of a listing. The keys with a prefix
// follow each other, so a group is complete at the first key without its prefix. Prefixes
// may begin with each other. It is not safe for concurrent use.
type Groups[T any] struct {
	open     []group[T] // each prefix begins with the one before
	complete func(T)
}

type group[T any] struct {
	prefix string
	value  *T
}

// NewGroups returns groups that are passed to complete once no key of theirs can follow.
func NewGroups[T any](complete func(T)) *Groups[T] { return &Groups[T]{complete: complete} }

// Advance completes the groups to which a key does not belong. Keys must be passed in
// their order.
func (groups *Groups[T]) Advance(key string) {
	for last := len(groups.open) - 1; last >= 0 && !strings.HasPrefix(key, groups.open[last].prefix); last-- {
		groups.pop()
	}
}

// At returns the group of a prefix, which the key last passed to Advance must have, and
// whether it is new.
func (groups *Groups[T]) At(prefix string) (value *T, added bool) {
	index := len(groups.open)
	for index > 0 && len(groups.open[index-1].prefix) > len(prefix) {
		index--
	}
	if index > 0 && groups.open[index-1].prefix == prefix {
		return groups.open[index-1].value, false
	}
	value = new(T)
	groups.open = append(groups.open, group[T]{})
	copy(groups.open[index+1:], groups.open[index:])
	groups.open[index] = group[T]{prefix, value}
	return value, true
}

// Finish completes all groups.
func (groups *Groups[T]) Finish() {
	for len(groups.open) > 0 {
		groups.pop()
	}
}

func (groups *Groups[T]) pop() {
	last := groups.open[len(groups.open)-1]
	groups.open = groups.open[:len(groups.open)-1]
	groups.complete(*last.value)
}
