package workspace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/configuration"
)

// Share is the part of a workspace's rate and burst that the holder of one
// data centre accrues.
type Share struct {
	Rate  float64
	Burst float64
	// Home is the only data centre with a holder, empty if each has one.
	Home string
}

// minHolderBurst is the smallest burst of one holder, in requests. A smaller
// part might never hold a whole token.
const minHolderBurst = 2.0

// ShareOf splits a workspace for one data centre. It depends on the text
// alone, never on a view of which hosts are alive.
func ShareOf(text *configuration.Text, workspace configuration.Workspace, dataCentre string) Share {
	open := 0
	for _, place := range text.DataCentres {
		if !place.Closed {
			open++
		}
	}
	if open == 0 {
		return Share{}
	}
	if workspace.Burst/float64(open) < minHolderBurst {
		home := homeOf(text, workspace.Name)
		if home != dataCentre {
			return Share{Home: home}
		}
		return Share{Rate: workspace.Rate, Burst: workspace.Burst, Home: home}
	}
	if place, ok := text.DataCentre(dataCentre); !ok || place.Closed {
		return Share{}
	}
	return Share{Rate: workspace.Rate / float64(open), Burst: workspace.Burst / float64(open)}
}

// homeOf picks the data centre that counts a workspace with a small burst.
func homeOf(text *configuration.Text, workspace string) string {
	best, score := "", uint64(0)
	for _, place := range text.DataCentres {
		if place.Closed {
			continue
		}
		if hash := xxhash.Sum64String(place.Name + "\x00" + workspace); best == "" || hash > score {
			best, score = place.Name, hash
		}
	}
	return best
}

// Slot returns the slot whose owner holds a workspace in a data centre.
func Slot(workspace string, slots int) int {
	return int(xxhash.Sum64String("workspace\x00"+workspace) % uint64(slots))
}

const (
	// GrantTTL is how long a grant or a moved token may be used, measured by
	// its taker from before it asked.
	GrantTTL = time.Second
	// HoldLease is how long a proof of holding lasts.
	HoldLease = 1500 * time.Millisecond
	// TakeoverWait is how long a new holder waits before it accrues tokens:
	// its predecessor's lease and the grants given at its end.
	TakeoverWait = HoldLease + GrantTTL
)
