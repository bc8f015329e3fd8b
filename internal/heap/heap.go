// Package heap provides a generic priority queue whose items can be reordered and
// removed in place. It wraps container/heap.
package heap

import stdheap "container/heap"

// Item is an element of a heap. It stores its own position in the heap.
type Item interface {
	// HeapIndex returns a pointer to the stored position, which only the heap may
	// change while it contains the item.
	HeapIndex() *int
}

// Heap orders items by a less function. The zero value is not usable; call New.
type Heap[T Item] struct{ items items[T] }

// New returns an empty heap ordered by less.
func New[T Item](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{items: items[T]{less: less}}
}

// Len returns the number of items.
func (heap *Heap[T]) Len() int { return len(heap.items.list) }

// Push adds an item.
func (heap *Heap[T]) Push(item T) { stdheap.Push(&heap.items, item) }

// Peek returns the least item. The heap must not be empty.
func (heap *Heap[T]) Peek() T { return heap.items.list[0] }

// Pop removes and returns the least item. The heap must not be empty.
func (heap *Heap[T]) Pop() T { return stdheap.Pop(&heap.items).(T) }

// Fix restores the order after the priority of an item has changed.
func (heap *Heap[T]) Fix(item T) { stdheap.Fix(&heap.items, *item.HeapIndex()) }

// Remove removes an item, which must be in the heap.
func (heap *Heap[T]) Remove(item T) { stdheap.Remove(&heap.items, *item.HeapIndex()) }

// Items returns the items in no particular order. The caller must not modify the
// slice.
func (heap *Heap[T]) Items() []T { return heap.items.list }

// items implements heap.Interface of the standard library.
type items[T Item] struct {
	list []T
	less func(a, b T) bool
}

func (items *items[T]) Len() int           { return len(items.list) }
func (items *items[T]) Less(a, b int) bool { return items.less(items.list[a], items.list[b]) }

func (items *items[T]) Swap(a, b int) {
	items.list[a], items.list[b] = items.list[b], items.list[a]
	*items.list[a].HeapIndex() = a
	*items.list[b].HeapIndex() = b
}

func (items *items[T]) Push(item any) {
	added := item.(T)
	*added.HeapIndex() = len(items.list)
	items.list = append(items.list, added)
}

func (items *items[T]) Pop() any {
	last := len(items.list) - 1
	item := items.list[last]
	var zero T
	items.list[last] = zero
	items.list = items.list[:last]
	*item.HeapIndex() = -1
	return item
}
