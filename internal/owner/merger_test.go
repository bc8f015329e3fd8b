package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/standin"
)

// TestMerger lets many hosts append at once while the log loses answers. Each
// gets the position at which its own entries stand.
func TestMerger(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	count := 0
	var mutex sync.Mutex
	random := func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		count++
		return float64(count%2) / 2
	}
	log := standin.NewLog(clockwork.NewRealClock(), random, 0, 10_000)
	log.SetFaults(standin.LogFaults{LoseAnswers: 0.4})
	merger := NewMerger(ctx, Direct{Log: log}, clockwork.NewRealClock(), metric.Discard(), 20*time.Millisecond)
	const hosts, rounds = 30, 4
	var waiting sync.WaitGroup
	for host := range hosts {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for round := range rounds {
				checkMerged(ctx, t, log, merger, fmt.Sprint(host, "/", round))
			}
		}()
	}
	waiting.Wait()
	is.True(log.Counts().Appends < hosts*rounds/3) // far fewer than one for each list
}

func checkMerged(ctx context.Context, t *testing.T, log *standin.Log, merger *Merger, name string) {
	entries := []ledger.Entry{{Call: name + "a"}, {Call: name + "b"}}
	data, err := ledger.EncodeEntries(entries)
	if err != nil {
		t.Error(err)
		return
	}
	position, err := merger.Append(ctx, "history.a", data)
	if err != nil {
		t.Error(err)
		return
	}
	for index, entry := range entries {
		location := ledger.Location{Offset: position.Offset, Index: position.First + index + 1}
		found, err := loadHistory(ctx, log, "history.a", location)
		if err != nil || len(found) != 1 || found[0].Call != entry.Call {
			t.Errorf("at %v: %v, %v, expected call %q", location, found, err, entry.Call)
		}
	}
}

// TestMergerRefusesNonsense checks that a list which does not decode harms
// nobody else's.
func TestMergerRefusesNonsense(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { return 1 }, 0, 1000)
	merger := NewMerger(ctx, Direct{Log: log}, clockwork.NewRealClock(), metric.Discard(), time.Millisecond)
	_, err := merger.Append(ctx, "ledger.a", []byte("nonsense"))
	is.True(err != nil)
	checkMerged(ctx, t, log, merger, "good")
}

// TestMergerDropsAbandonedLists checks that an outage leaves no copies of
// lists whose hosts have tried again.
func TestMergerDropsAbandonedLists(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { return 1 }, 0, 1000)
	log.SetFaults(standin.LogFaults{Outage: true})
	merger := NewMerger(ctx, Direct{Log: log}, clockwork.NewRealClock(), metric.Discard(), time.Millisecond)
	data, err := ledger.EncodeEntries([]ledger.Entry{{Call: "abandoned"}})
	is.NoErr(err)
	for range 5 {
		short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err := merger.Append(short, "history.a", data)
		is.True(err != nil)
		stop()
	}
	log.SetFaults(standin.LogFaults{})
	checkMerged(ctx, t, log, merger, "later")
	copies := 0
	page, err := log.Read(ctx, "history.a", 0, 0, 0)
	is.NoErr(err)
	for _, entry := range page.Entries {
		for index := 1; ; index++ {
			found, err := ledger.DecodeEntry(entry.Data, ledger.Location{Offset: entry.Offset, Index: index})
			if err != nil {
				break
			}
			if found.Call == "abandoned" {
				copies++
			}
		}
	}
	is.True(copies <= 1) // the one that was on its way when its host gave up
}
