package overload

import "time"

// maxWorkspaces is the number of workspaces whose usage a controller keeps.
const maxWorkspaces = 1000

// negligibleUsage is the decayed number of requests below which a workspace is forgotten.
const negligibleUsage = 0.05

// usage contains the decayed numbers of recent starts and requests for a start, by
// workspace.
type usage struct {
	workspaces map[string]*workspaceUsage
	updated    time.Time
}

// workspaceUsage is the usage of one workspace.
type workspaceUsage struct {
	starts   float64
	requests float64
}

func newUsage() usage { return usage{workspaces: make(map[string]*workspaceUsage)} }

// advance decays the numbers, at most every tenth of the window.
func (usage *usage) advance(now time.Time) {
	elapsed := now.Sub(usage.updated)
	if elapsed < shareWindow/10 {
		return
	}
	factor := decay(elapsed, shareWindow)
	for name, workspace := range usage.workspaces {
		workspace.starts *= factor
		workspace.requests *= factor
		if workspace.requests < negligibleUsage && workspace.starts < negligibleUsage {
			delete(usage.workspaces, name)
		}
	}
	usage.updated = now
}

// workspace returns the usage of a workspace, or nil if there are too many.
func (usage *usage) workspace(name string) *workspaceUsage {
	found := usage.workspaces[name]
	if found == nil && len(usage.workspaces) < maxWorkspaces {
		found = &workspaceUsage{}
		usage.workspaces[name] = found
	}
	return found
}

func (usage *usage) observe(name string, now time.Time) {
	usage.advance(now)
	if workspace := usage.workspace(name); workspace != nil {
		workspace.requests++
	}
}

func (usage *usage) add(name string, now time.Time) {
	usage.advance(now)
	if workspace := usage.workspace(name); workspace != nil {
		workspace.starts++
	}
}

func (usage *usage) withdraw(name string, now time.Time) {
	usage.advance(now)
	if workspace := usage.workspaces[name]; workspace != nil {
		workspace.starts = max(0, workspace.starts-1)
	}
}

// belowShare reports whether a workspace has started less than the mean of all that
// ask for starts. With a single workspace there is nothing to share.
func (usage *usage) belowShare(name string) bool {
	workspace := usage.workspaces[name]
	if workspace == nil || len(usage.workspaces) < 2 {
		return false
	}
	total := 0.0
	for _, other := range usage.workspaces {
		total += other.starts
	}
	return workspace.starts < total/float64(len(usage.workspaces))
}
