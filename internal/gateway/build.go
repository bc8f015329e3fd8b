package gateway

import "runtime/debug"

// build names the commit that this program was built from, as far as the Go command
// has recorded it.
func build() string {
	const revisionLength = 12
	revision, modified := "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value[:min(revisionLength, len(setting.Value))]
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = "+"
			}
		}
	}
	if revision == "" {
		return "unknown"
	}
	return revision + modified
}
