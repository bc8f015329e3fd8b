// Package region decides in which data centres a request may run, and through which hosts
// its body may pass, from the home regions of its route and workspace. It performs no I/O.
package region

import (
	"context"
	"slices"
	"strings"
)

// Regions contains the regions of data centres, as a host knows them.
type Regions struct {
	dataCentre   string // of the host
	own          string // region of the host
	byDataCentre map[string]string
}

// New returns the regions of data centres. own is the region of the host; if it is empty,
// it is that of the host's data centre.
func New(dataCentre, own string, byDataCentre map[string]string) *Regions {
	if own == "" {
		own = byDataCentre[dataCentre]
	}
	return &Regions{dataCentre: dataCentre, own: own, byDataCentre: byDataCentre}
}

// Of returns the region of a data centre, or an empty string if it has none.
func (regions *Regions) Of(dataCentre string) string {
	if dataCentre == regions.dataCentre {
		return regions.own
	}
	return regions.byDataCentre[dataCentre]
}

// Has reports whether a data centre is in a region.
func (regions *Regions) Has(name string) bool {
	if name == "" {
		return false
	}
	if name == regions.own {
		return true
	}
	for _, region := range regions.byDataCentre {
		if region == name {
			return true
		}
	}
	return false
}

// Constraint confines a request to its home regions. A nil Constraint allows everything.
type Constraint struct {
	regions *Regions
	homes   []string // sorted
}

// Constrain returns the constraint of lists of home regions, of which a request must
// obey all. An empty list confines nothing; the result is nil if all are empty. Nothing is
// allowed if the lists have no region in common.
func (regions *Regions) Constrain(lists ...[]string) *Constraint {
	var homes []string
	confined := false
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !confined:
			homes, confined = slices.Clone(list), true
		default:
			homes = slices.DeleteFunc(homes, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	if !confined {
		return nil
	}
	slices.Sort(homes)
	return &Constraint{regions: regions, homes: slices.Compact(homes)}
}

// AllowsTarget reports whether a target in a data centre may run the request. A data
// centre without a region is in none of the home regions.
func (constraint *Constraint) AllowsTarget(dataCentre string) bool {
	if constraint == nil {
		return true
	}
	region := constraint.regions.Of(dataCentre)
	return region != "" && slices.Contains(constraint.homes, region)
}

// IsHome reports whether this host is in one of the home regions.
func (constraint *Constraint) IsHome() bool {
	return constraint == nil || constraint.AllowsTarget(constraint.regions.dataCentre)
}

// Homes returns the home regions, in order.
func (constraint *Constraint) Homes() []string { return constraint.homes }

// AllowsHost reports whether the body of the request may be sent to a host in a data
// centre: in a home region, or in the region of this host, to which the caller connected.
func (constraint *Constraint) AllowsHost(dataCentre string) bool {
	if constraint == nil || dataCentre == constraint.regions.dataCentre || constraint.AllowsTarget(dataCentre) {
		return true
	}
	own := constraint.regions.own
	return own != "" && constraint.regions.Of(dataCentre) == own
}

// Key returns the same text for constraints that allow the same, and an empty one for nil.
func (constraint *Constraint) Key() string {
	if constraint == nil {
		return ""
	}
	escaped := make([]string, 0, len(constraint.homes))
	for _, name := range constraint.homes {
		escaped = append(escaped, keyEscaper.Replace(name))
	}
	return "in:" + strings.Join(escaped, ",")
}

// keyEscaper keeps a name with a comma apart from two names.
var keyEscaper = strings.NewReplacer(`\`, `\\`, ",", `\,`)

// contextKey is the key of the constraint in a context.
type contextKey struct{}

// NewContext returns a context for calls that send the body of a request, or a text of a
// turn, to other hosts.
func NewContext(ctx context.Context, constraint *Constraint) context.Context {
	if constraint == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, constraint)
}

// FromContext returns the constraint of a context, or nil.
func FromContext(ctx context.Context) *Constraint {
	constraint, _ := ctx.Value(contextKey{}).(*Constraint)
	return constraint
}
