package workspace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/configuration"
)

// Share is the share of a workspace's rate and burst that accrues to the
// coordinator of one data centre.
type Share struct {
	Rate  float64
	Burst float64
	// SoleDataCentre is the only data centre with a coordinator, or "" if each
	// has one.
	SoleDataCentre string
}

// minCoordinatorBurst is the smallest burst of one coordinator, in requests. An
// account with a smaller burst might never reach a whole token.
const minCoordinatorBurst = 2.0

// ShareOf returns the share of a workspace for one data centre. It depends only
// on the configuration, not on which hosts are alive, because hosts with
// different views would otherwise grant more than the limit in total.
func ShareOf(text *configuration.Text, workspace configuration.Workspace, dataCentre string) Share {
	open := 0
	for _, configured := range text.DataCentres {
		if !configured.Closed {
			open++
		}
	}
	if open == 0 {
		return Share{}
	}
	if workspace.Burst/float64(open) < minCoordinatorBurst {
		sole := soleDataCentre(text, workspace.Name)
		if sole != dataCentre {
			return Share{SoleDataCentre: sole}
		}
		return Share{Rate: workspace.Rate, Burst: workspace.Burst, SoleDataCentre: sole}
	}
	if configured, ok := text.DataCentre(dataCentre); !ok || configured.Closed {
		return Share{}
	}
	return Share{Rate: workspace.Rate / float64(open), Burst: workspace.Burst / float64(open)}
}

// soleDataCentre selects the data centre with the only coordinator of a
// workspace, by rendezvous hashing.
func soleDataCentre(text *configuration.Text, workspace string) string {
	best, score := "", uint64(0)
	for _, candidate := range text.DataCentres {
		if candidate.Closed {
			continue
		}
		if hash := xxhash.Sum64String(candidate.Name + "\x00" + workspace); best == "" || hash > score {
			best, score = candidate.Name, hash
		}
	}
	return best
}

// Slot returns the slot whose owner in a data centre coordinates a workspace.
func Slot(workspace string, slots int) int {
	return int(xxhash.Sum64String("workspace\x00"+workspace) % uint64(slots))
}

const (
	// GrantTTL is how long a grant or a moved token may be used, measured by
	// the receiver from before it sent its request.
	GrantTTL = time.Second
	// OwnershipLease is the lease of a coordinator: how long a proof that it
	// owns its slot is valid.
	OwnershipLease = 1500 * time.Millisecond
	// TakeoverWait is how long a new coordinator waits before it accrues
	// tokens: the lease of its predecessor and the lifetime of a grant issued
	// at the end of that lease.
	TakeoverWait = OwnershipLease + GrantTTL
)
