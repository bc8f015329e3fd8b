package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const (
	maxHosts    = 1000
	maxWindow   = 4096
	maxRate     = 1e6
	maxTurns    = 10_000
	maxTokens   = 1_000_000_000
	maxDuration = 30 * 24 * time.Hour
)

// check reports values that have the right type but are not valid.
func (checker *checker) check(text *Text) {
	checker.checkDataCentres(text)
	checker.checkServices(text)
	checker.checkCycles(text)
	checker.checkWorkspaces(text)
}

// checkNames reports names that are malformed or duplicate.
func (checker *checker) checkNames(path string, names []string) {
	firstIndex := make(map[string]int, len(names))
	for index, name := range names {
		namePath := fmt.Sprintf("%s[%d].name", path, index)
		if !namePattern.MatchString(name) {
			checker.report(namePath, "name %q is not made of 1 to 63 small letters, digits and dashes", name)
		}
		if earlier, ok := firstIndex[name]; ok {
			checker.report(namePath, "name %q is already used by %s[%d]", name, path, earlier)
			continue
		}
		firstIndex[name] = index
	}
}

// checkRange reports a number outside its range. Fields for which zero selects the
// default pass zero as the lower bound.
func checkRange[T int | int64 | float64 | time.Duration](checker *checker, path string, value, low, high T) {
	if value < low || value > high {
		checker.report(path, "value %v is outside %v to %v", value, low, high)
	}
}

func (checker *checker) checkDataCentres(text *Text) {
	if len(text.DataCentres) == 0 {
		checker.report("$.data_centres", "at least one data centre is needed")
	}
	var names []string
	for index, dataCentre := range text.DataCentres {
		names = append(names, dataCentre.Name)
		checkRange(checker, fmt.Sprintf("$.data_centres[%d].hosts", index), dataCentre.Hosts, 1, maxHosts)
	}
	checker.checkNames("$.data_centres", names)
}

func (checker *checker) checkServices(text *Text) {
	var names []string
	for index, service := range text.Services {
		names = append(names, service.Name)
		path := fmt.Sprintf("$.services[%d]", index)
		if service.Kind != KindEngine && service.Kind != KindPlain {
			checker.report(path+".kind", "kind %q is neither %q nor %q", service.Kind, KindEngine, KindPlain)
		}
		if service.Kind == KindEngine && !service.Repeatable {
			checker.report(path+".repeatable", "an engine's calls are repeatable, set it to true")
		}
		if service.Model != "" && service.Kind != KindEngine {
			checker.report(path+".model", "only engines load models")
		}
		if service.Open && service.Kind == KindEngine {
			checker.report(path+".open", "an engine's calls belong to programs, whose workspace needs a key")
		}
		checkRange(checker, path+".cost", service.Cost, 0, maxTokens)
		checkRange(checker, path+".window", service.Window, 0, maxWindow)
		checkRange(checker, path+".timeout", service.Timeout, 0, maxDuration)
		checkRange(checker, path+".first_byte_timeout", service.FirstByteTimeout, 0, maxDuration)
		checkRange(checker, path+".token_timeout", service.TokenTimeout, 0, maxDuration)
		checker.checkTargets(text, service, path)
		for position, name := range service.DependsOn {
			if _, ok := text.Service(name); !ok {
				checker.report(fmt.Sprintf("%s.depends_on[%d]", path, position), "service %q does not exist", name)
			}
		}
	}
	checker.checkNames("$.services", names)
}

func (checker *checker) checkTargets(text *Text, service Service, path string) {
	seenAddresses := make(map[string]bool)
	for index, target := range service.Targets {
		targetPath := fmt.Sprintf("%s.targets[%d]", path, index)
		if _, ok := text.DataCentre(target.DataCentre); !ok {
			checker.report(targetPath+".data_centre", "data centre %q does not exist", target.DataCentre)
		}
		if _, err := netip.ParseAddrPort(target.Address); err != nil {
			checker.report(targetPath+".address", "address %q is not an IP number with a port", target.Address)
		}
		if seenAddresses[target.Address] {
			checker.report(targetPath+".address", "address %q is listed twice", target.Address)
		}
		seenAddresses[target.Address] = true
	}
}

// checkCycles reports services that depend on themselves, directly or through other
// services.
func (checker *checker) checkCycles(text *Text) {
	const (
		visiting = 1
		visited  = 2
	)
	progress := make(map[string]int)
	var reachesCycle func(name string) bool
	reachesCycle = func(name string) bool {
		switch progress[name] {
		case visiting:
			return true
		case visited:
			return false
		}
		progress[name] = visiting
		service, _ := text.Service(name)
		for _, dependency := range service.DependsOn {
			if reachesCycle(dependency) {
				progress[name] = visited
				return true
			}
		}
		progress[name] = visited
		return false
	}
	for index, service := range text.Services {
		if progress[service.Name] == 0 && reachesCycle(service.Name) {
			checker.report(fmt.Sprintf("$.services[%d].depends_on", index), "service %q depends on itself through a cycle", service.Name)
		}
	}
}

func (checker *checker) checkWorkspaces(text *Text) {
	var names []string
	for index, workspace := range text.Workspaces {
		names = append(names, workspace.Name)
		path := fmt.Sprintf("$.workspaces[%d]", index)
		if workspace.Rate <= 0 || workspace.Rate > maxRate || math.IsNaN(workspace.Rate) {
			checker.report(path+".rate", "rate %v is not above 0 and at most %v requests a second", workspace.Rate, maxRate)
		}
		if workspace.Burst < 1 || workspace.Burst > maxRate || math.IsNaN(workspace.Burst) {
			checker.report(path+".burst", "burst %v is outside 1 to %v requests", workspace.Burst, maxRate)
		}
		checkRange(checker, path+".priority", workspace.Priority, 0, 9)
		checkRange(checker, path+".weight", workspace.Weight, 0, 1000)
		checkRange(checker, path+".offline_grace", workspace.OfflineGrace, 0, maxDuration)
		checkRange(checker, path+".limits.turns", workspace.Limits.Turns, 0, maxTurns)
		checkRange(checker, path+".limits.tokens", workspace.Limits.Tokens, 0, maxTokens)
		checkRange(checker, path+".limits.time", workspace.Limits.Time, 0, maxDuration)
		checkRange(checker, path+".limits.idle", workspace.Limits.Idle, 0, maxDuration)
		for position, name := range workspace.Services {
			if _, ok := text.Service(name); !ok {
				checker.report(fmt.Sprintf("%s.services[%d]", path, position), "service %q does not exist", name)
			}
		}
	}
	checker.checkNames("$.workspaces", names)
}
