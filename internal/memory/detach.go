package memory

// Detach returns a budget with the same bytes held, which shares no state with this one. It
// has room for requests that need the memory of the class Cached, since that is released for
// them. Calls that wait for memory still come first.
func (budget *Budget) Detach() *Budget {
	if budget == nil {
		return nil
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	detached := &Budget{capacity: budget.capacity, held: budget.held, byClass: budget.byClass, peak: budget.peak}
	for _, waiting := range budget.waiters {
		detached.waiters = append(detached.waiters, &waiter{class: waiting.class, bytes: waiting.bytes, granted: make(chan *Reservation, 1)})
	}
	detached.OnShortage(func(bytes int64) {
		detached.mutex.Lock()
		defer detached.mutex.Unlock()
		if released := min(bytes, detached.byClass[Cached]); released == bytes {
			detached.byClass[Cached] -= released
			detached.held -= released
		}
	})
	return detached
}
