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

// TestMerger guards against positions that belong to another host's entries.
// Many hosts append at once while the log loses responses, so that appends are
// repeated.
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
	log.SetFaults(standin.LogFaults{LostResponses: 0.4})
	merger := NewMerger(ctx, LogAppender{Log: log}, clockwork.NewRealClock(), metric.Discard(), 20*time.Millisecond)
	const hosts, rounds = 30, 4
	var group sync.WaitGroup
	for host := range hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := range rounds {
				checkAppended(ctx, t, log, merger, fmt.Sprint(host, "/", round))
			}
		}()
	}
	group.Wait()
	is.True(log.Counts().Appends < hosts*rounds/3) // far fewer appends than batches
}

func checkAppended(ctx context.Context, t *testing.T, log *standin.Log, merger *Merger, name string) {
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
		location := ledger.Location{Offset: position.Offset, Index: position.Preceding + index + 1}
		found, err := loadHistory(ctx, log, "history.a", location)
		if err != nil || len(found) != 1 || found[0].Call != entry.Call {
			t.Errorf("entry at %v: got %v, %v, want call %q", location, found, err, entry.Call)
		}
	}
}

// TestMergerRejectsMalformedBatch guards against a malformed batch that makes
// the appends of other hosts fail.
func TestMergerRejectsMalformedBatch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { return 1 }, 0, 1000)
	merger := NewMerger(ctx, LogAppender{Log: log}, clockwork.NewRealClock(), metric.Discard(), time.Millisecond)
	_, err := merger.Append(ctx, "ledger.a", []byte("nonsense"))
	is.True(err != nil)
	checkAppended(ctx, t, log, merger, "good")
}

// TestMergerDropsAbandonedBatches guards against an outage of the log that
// leaves many copies of a batch, because its host stopped waiting and appended
// it again.
func TestMergerDropsAbandonedBatches(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { return 1 }, 0, 1000)
	log.SetFaults(standin.LogFaults{Outage: true})
	merger := NewMerger(ctx, LogAppender{Log: log}, clockwork.NewRealClock(), metric.Discard(), time.Millisecond)
	data, err := ledger.EncodeEntries([]ledger.Entry{{Call: "abandoned"}})
	is.NoErr(err)
	for range 5 {
		short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err := merger.Append(short, "history.a", data)
		is.True(err != nil)
		stop()
	}
	log.SetFaults(standin.LogFaults{})
	checkAppended(ctx, t, log, merger, "later")
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
	is.True(copies <= 1) // the append that was in flight when its host stopped waiting
}
