package placement

// OutsideHome reports whether a request has home regions and none of the targets in them
// accepts requests of its service, at any software version.
func (registry *Registry) OutsideHome(request Request) bool {
	if request.Home == nil {
		return false
	}
	request.Tried, request.Version = nil, ""
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, state := range registry.byService[request.Service] {
		if request.accepts(state.target) {
			return false
		}
	}
	return true
}
