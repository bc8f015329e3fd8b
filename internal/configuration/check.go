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
	maxHosts  = 1000
	maxWindow = 4096
	maxRate   = 1e6
	maxTurns  = 10_000
	maxTokens = 1_000_000_000
	maxTime   = 30 * 24 * time.Hour
)

// check reports what the types of the model do not rule out.
func (checker *checker) check(text *Text) {
	checker.checkDataCentres(text)
	checker.checkServices(text)
	checker.checkCycles(text)
	checker.checkWorkspaces(text)
}

// names checks the form and uniqueness of names.
func (checker *checker) names(path string, names []string) {
	first := make(map[string]int, len(names))
	for index, name := range names {
		at := fmt.Sprintf("%s[%d].name", path, index)
		if !namePattern.MatchString(name) {
			checker.report(at, "name %q is not made of 1 to 63 small letters, digits and dashes", name)
		}
		if earlier, ok := first[name]; ok {
			checker.report(at, "name %q is already used by %s[%d]", name, path, earlier)
			continue
		}
		first[name] = index
	}
}

// between reports a number outside its range. Zero is left to the default.
func between[T int | int64 | float64 | time.Duration](checker *checker, path string, value, low, high T) {
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
		between(checker, fmt.Sprintf("$.data_centres[%d].hosts", index), dataCentre.Hosts, 1, maxHosts)
	}
	checker.names("$.data_centres", names)
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
		between(checker, path+".cost", service.Cost, 0, maxTokens)
		between(checker, path+".window", service.Window, 0, maxWindow)
		between(checker, path+".timeout", service.Timeout, 0, maxTime)
		between(checker, path+".first_byte_timeout", service.FirstByteTimeout, 0, maxTime)
		between(checker, path+".token_timeout", service.TokenTimeout, 0, maxTime)
		checker.checkTargets(text, service, path)
		for place, name := range service.DependsOn {
			if _, ok := text.Service(name); !ok {
				checker.report(fmt.Sprintf("%s.depends_on[%d]", path, place), "service %q does not exist", name)
			}
		}
	}
	checker.names("$.services", names)
}

func (checker *checker) checkTargets(text *Text, service Service, path string) {
	seen := make(map[string]bool)
	for index, target := range service.Targets {
		at := fmt.Sprintf("%s.targets[%d]", path, index)
		if _, ok := text.DataCentre(target.DataCentre); !ok {
			checker.report(at+".data_centre", "data centre %q does not exist", target.DataCentre)
		}
		if _, err := netip.ParseAddrPort(target.Address); err != nil {
			checker.report(at+".address", "address %q is not an IP number with a port", target.Address)
		}
		if seen[target.Address] {
			checker.report(at+".address", "address %q is listed twice", target.Address)
		}
		seen[target.Address] = true
	}
}

// checkCycles reports services that depend on themselves.
func (checker *checker) checkCycles(text *Text) {
	const (
		visiting = 1
		done     = 2
	)
	marks := make(map[string]int)
	var visit func(name string) bool
	visit = func(name string) bool {
		switch marks[name] {
		case visiting:
			return true
		case done:
			return false
		}
		marks[name] = visiting
		service, _ := text.Service(name)
		for _, next := range service.DependsOn {
			if visit(next) {
				marks[name] = done
				return true
			}
		}
		marks[name] = done
		return false
	}
	for index, service := range text.Services {
		if marks[service.Name] == 0 && visit(service.Name) {
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
		between(checker, path+".priority", workspace.Priority, 0, 9)
		between(checker, path+".weight", workspace.Weight, 0, 1000)
		between(checker, path+".offline_grace", workspace.OfflineGrace, 0, maxTime)
		between(checker, path+".limits.turns", workspace.Limits.Turns, 0, maxTurns)
		between(checker, path+".limits.tokens", workspace.Limits.Tokens, 0, maxTokens)
		between(checker, path+".limits.time", workspace.Limits.Time, 0, maxTime)
		between(checker, path+".limits.idle", workspace.Limits.Idle, 0, maxTime)
		for place, name := range workspace.Services {
			if _, ok := text.Service(name); !ok {
				checker.report(fmt.Sprintf("%s.services[%d]", path, place), "service %q does not exist", name)
			}
		}
	}
	checker.names("$.workspaces", names)
}
