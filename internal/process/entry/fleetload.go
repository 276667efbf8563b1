package entry

import "github.com/cicadareel/cicadareel/internal/request/admission"

// Slots implements admission.Endpoints.
func (f *directFleet) Slots(group string) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	slots := 0
	for _, e := range f.endpoints {
		if e.info.Group == group && e.member.IsUsable() {
			slots += e.info.Slots
		}
	}
	return slots
}

// Levels implements admission.Endpoints.
func (f *directFleet) Levels(group string) int {
	b := f.bundle.Load()
	if b == nil {
		return 1
	}
	return b.Levels(group)
}

// Requests implements admission.Endpoints.
func (f *directFleet) Requests(group string) map[admission.EndpointKey]int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	requests := map[admission.EndpointKey]int{}
	for name, e := range f.endpoints {
		if n := e.member.OwnRequests(); n > 0 && e.info.Group == group {
			requests[admission.KeyOf(name)] = n
		}
	}
	return requests
}

// InProgress implements admission.Endpoints.
func (f *directFleet) InProgress(group string) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	requests := 0
	for _, e := range f.endpoints {
		if e.info.Group == group && e.member.IsUsable() {
			requests += e.member.OwnRequests() + e.member.OthersRequests()
		}
	}
	return requests
}

// ApplyOthers implements admission.Endpoints.
func (f *directFleet) ApplyOthers(group string, requests map[admission.EndpointKey]int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, e := range f.endpoints {
		if e.info.Group == group {
			e.member.ApplyOthers(requests[admission.KeyOf(name)])
		}
	}
}
