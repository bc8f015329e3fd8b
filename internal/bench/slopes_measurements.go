package bench

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/target"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// ledgerRecords returns the records that claim every slot, open the given number of
// programs and commit one turn in each.
func ledgerRecords(programs int) []ledger.Record {
	records := []ledger.Record{}
	for slot := range ledger.SlotCount {
		records = append(records, ledger.Record{
			ID: fmt.Sprint("c", slot), Slot: slot, Epoch: 1, Claim: &ledger.Claim{Host: "host-17", Incarnation: "incarnation17"},
		})
	}
	for index := range programs {
		id := fmt.Sprintf("dc-north-1.%d.%026d", index%ledger.SlotCount, index)
		records = append(records,
			ledger.Record{ID: fmt.Sprint("incarnation17/", 2*index), Slot: index % ledger.SlotCount, Epoch: 1, Program: id, Open: &ledger.Open{
				Root: id, Workspace: "workspace-4711", Budget: 400_000, Granted: 50_000, Limits: ledger.Limits{Turns: 110, Time: time.Hour, Idle: time.Minute},
			}},
			ledger.Record{ID: fmt.Sprint("incarnation17/", 2*index+1), Slot: index % ledger.SlotCount, Epoch: 1, Program: id, Turn: &ledger.Turn{
				Call: "call-000001", Number: 1, Head: ledger.Location{Offset: 123456, Index: 3}, Spent: 900, Granted: 50_000, Age: time.Minute,
			}},
		)
	}
	return records
}

func ledgerSlopes() []slope {
	sizes := []int{1000, 5000, 15_000}
	memory := measureSlope("ledger fold: memory of a program", "B", sizes, func(size int) float64 {
		records := ledgerRecords(size)
		return heapPerItem(size, func() any {
			state := ledger.NewState()
			for offset, record := range records {
				state.Apply(int64(offset), record)
			}
			return state
		}, records)
	})
	apply := measureSlope("ledger fold: processor of a record", "us", sizes, func(size int) float64 {
		records := ledgerRecords(size)
		data, err := ledger.EncodeBatch(records)
		if err != nil {
			panic(err) // these records always encode
		}
		return cpuMicrosPerRun(1, func(int) {
			decoded, _, err := ledger.DecodeBatch(data)
			if err != nil {
				panic(err)
			}
			state := ledger.NewState()
			for offset, record := range decoded {
				state.Apply(int64(offset), record)
			}
		}) / float64(len(records))
	})
	records := ledgerRecords(1)
	open, turn := records[len(records)-2], records[len(records)-1]
	intent, outcome := turn, turn
	intent.Turn, outcome.Turn = nil, nil
	intent.Intent = &ledger.Intent{Call: "call-000001", Attempt: "incarnation17.42", Number: 2, Service: "filing", Input: strings.Repeat("x", 200), Timeout: time.Minute}
	outcome.Outcome = &ledger.Outcome{Call: "call-000001", Attempt: "incarnation17.42", Result: ledger.ResultRan, Head: ledger.Location{Offset: 1, Index: 1}}
	kinds := []ledger.Record{open, turn, intent, outcome}
	size := slope{Name: "ledger record: open, turn, intent of 200 B, outcome", Unit: "B", Sizes: []int{1, 2, 3, 4}}
	for _, record := range kinds {
		size.Values = append(size.Values, encodedSize(record))
	}
	return []slope{memory, apply, size}
}

// ownerSlopes measures the memory and CPU time of programs on their owner.
func ownerSlopes() []slope {
	sizes := []int{100, 350, 1000}
	memory := measureSlope("owner: memory of a program beside its texts", "B", sizes, func(size int) float64 {
		records := ledgerRecords(size)
		return heapPerItem(size, func() any {
			machine := program.NewMachine(program.DefaultSettings("host-17", "incarnation17"))
			for offset, record := range records {
				machine.Step(time.Unix(0, 0), program.LedgerRead{Offset: int64(offset), Records: []ledger.Record{record}})
			}
			return machine
		}, records)
	})
	tick := measureSlope("owner: processor of a tick, for each program", "us", sizes, func(size int) float64 {
		machine := program.NewMachine(program.DefaultSettings("host-17", "incarnation17"))
		for offset, record := range ledgerRecords(size) {
			machine.Step(time.Unix(0, 0), program.LedgerRead{Offset: int64(offset), Records: []ledger.Record{record}})
		}
		for id := range size {
			name := fmt.Sprintf("dc-north-1.%d.%026d", id%ledger.SlotCount, id)
			machine.Step(time.Unix(0, 0), program.QueryRequest{ReplyToken: program.ReplyToken(id), Program: name, Workspace: "workspace-4711"})
		}
		return cpuMicrosPerRun(200, func(run int) { machine.Step(time.Unix(int64(run), 0), program.Tick{}) }) / float64(size)
	})
	return []slope{memory, tick}
}

func newMembership(count int) *host.Membership {
	now := time.Unix(1000, 0)
	membership := host.NewMembership(time.Unix(0, 0), host.Heartbeat{Name: "host-000", Incarnation: "i0", DataCentre: "d"})
	for index := range count - 1 {
		membership.Observe(now, host.Heartbeat{
			Name: fmt.Sprintf("host-%03d", index+1), Incarnation: fmt.Sprint("i", index+1), DataCentre: "d", Address: "10.11.12.13:8081",
		})
	}
	return membership
}

func hostSlopes() []slope {
	sizes := []int{11, 41, 120}
	selection := measureSlope("membership: processor of the choice of slots", "us", sizes, func(size int) float64 {
		membership := newMembership(size)
		var owners [ledger.SlotCount]host.Owner
		for slot := range owners {
			owners[slot] = host.Owner{Host: fmt.Sprintf("host-%03d", slot%size), Incarnation: fmt.Sprint("i", slot%size)}
		}
		return cpuMicrosPerRun(200, func(int) { membership.SlotsToClaim(time.Unix(1000, 0), owners) })
	})
	heartbeat := host.Heartbeat{
		Name: "north-1-host-17", Incarnation: "kuy4qdwslsvx3", DataCentre: "dc-north-1", Address: "10.11.12.13:8081", Version: 123456,
		ConfigurationNext: 234567, ConfigurationAgeMS: 1500, ConfigurationCurrent: true, LedgerNext: 12345678,
	}
	size := measureSlope("heartbeat: bytes with its frame", "B", sizes, func(int) float64 { return encodedSize(heartbeat) + frameOverhead })
	cost := measureSlope("heartbeat: processor of encoding, decoding and hearing", "us", sizes, func(size int) float64 {
		membership := newMembership(size)
		return cpuMicrosPerRun(5000, func(run int) {
			heartbeat.Name = fmt.Sprintf("host-%03d", run%size)
			data, err := codec.Marshal(heartbeat)
			if err != nil {
				panic(err)
			}
			var decoded host.Heartbeat
			if err := codec.Unmarshal(data, &decoded); err != nil {
				panic(err)
			}
			membership.Observe(time.Unix(1000, 0), decoded)
		})
	})
	return []slope{selection, size, cost}
}

func workspaceSlopes() []slope {
	sizes := []int{100, 1000, 7600}
	now := time.Unix(0, 0)
	limiter := measureSlope("entry host: memory of a workspace with traffic", "B", sizes, func(size int) float64 {
		return heapPerItem(size, func() any {
			limiter := workspace.NewLocalLimiter()
			for index := range size {
				limiter.Admit(now, uint64(index), fmt.Sprint("w", index), 10, now.Add(time.Second))
			}
			return limiter
		})
	})
	coordinator := measureSlope("rate holder: memory of a workspace", "B", sizes, func(size int) float64 {
		return heapPerItem(size, func() any {
			coordinator := workspace.NewCoordinator("h")
			for index := range size {
				coordinator.SetAccount(now, now, fmt.Sprint("w", index), 10, 20)
			}
			return coordinator
		})
	})
	cost := measureSlope("rate holder: processor of an ask", "us", sizes, func(size int) float64 {
		coordinator := workspace.NewCoordinator("h")
		names := make([]string, size)
		for index := range size {
			names[index] = fmt.Sprint("w", index)
			coordinator.SetAccount(now, now, names[index], 10, 20)
		}
		return cpuMicrosPerRun(20_000, func(run int) {
			coordinator.Grant(now.Add(time.Duration(run)*time.Millisecond), workspace.QuotaRequest{Workspace: names[run%size], Need: 1})
		})
	})
	tick := measureSlope("rate holder: processor of a tick, all quiet", "us", sizes, func(size int) float64 {
		coordinator := workspace.NewCoordinator("h")
		for index := range size {
			coordinator.SetAccount(now, now, fmt.Sprint("w", index), 10, 20)
		}
		return cpuMicrosPerRun(2000, func(run int) { coordinator.Tick(now.Add(time.Duration(run) * time.Millisecond)) })
	})
	return []slope{limiter, coordinator, cost, tick}
}

func targetSlopes() []slope {
	sizes := []int{10, 100, 1000}
	memory := measureSlope("queue holder: memory of a target", "B", sizes, func(size int) float64 {
		return heapPerItem(size, func() any { return newPool(size) })
	})
	decision := measureSlope("queue holder: processor of a permit and its return", "us", sizes, func(size int) float64 {
		pool := newPool(size)
		now := time.Unix(0, 0)
		return cpuMicrosPerRun(20_000, func(run int) {
			id := uint64(run + 1)
			pool.Submit(now, &target.Request{ID: id, Workspace: "w", Weight: 1, Prompt: 500, Output: 100, Program: "p"})
			pool.Settle(now, target.Report{Request: id, Prompt: 500, Reused: 250, Output: 100})
		})
	})
	return []slope{memory, decision}
}

func newPool(targets int) *target.Pool {
	pool := target.NewPool(target.DefaultSettings(8, func() float64 { return 0.5 }), target.NewFairQueue(), target.PrefixPlacement{})
	addresses := make([]string, targets)
	for index := range addresses {
		addresses[index] = fmt.Sprintf("10.0.%d.%d:9000", index/250, index%250)
	}
	pool.SetTargets(time.Unix(0, 0), addresses, 8)
	return pool
}

// configurationText returns a configuration text with the given number of
// workspaces.
func configurationText(workspaces int) []byte {
	var text bytes.Buffer
	text.WriteString("data_centres:\n")
	for dataCentre := range 9 {
		fmt.Fprintf(&text, "  - {name: dc%d, hosts: 41}\n", dataCentre)
	}
	text.WriteString("services:\n  - name: draft\n    kind: engine\n    repeatable: true\n    targets:\n")
	for index := range 850 {
		fmt.Fprintf(&text, "      - {data_centre: dc%d, address: \"10.%d.%d.1:9000\"}\n", index%9, index%9, index/9)
	}
	text.WriteString("workspaces:\n")
	for index := range workspaces {
		fmt.Fprintf(&text, "  - {name: workspace-%d, rate: %d, burst: %d, priority: %d}\n", index, 1+index%7, 4+index%9, index%3)
	}
	return text.Bytes()
}

func configurationSlopes() []slope {
	sizes := []int{8, 760, 7600}
	size := measureSlope("configuration: bytes of a change in the log", "B", sizes, func(size int) float64 {
		record := configuration.Record{ID: "x", Change: &configuration.Change{Version: 2, Base: 1, Text: configurationText(size)}}
		data, err := record.Encode()
		if err != nil {
			panic(err)
		}
		return float64(len(data))
	})
	cost := measureSlope("configuration: processor of a change", "ms", sizes, func(size int) float64 {
		text := configurationText(size)
		return cpuMicrosPerRun(1, func(int) {
			if _, err := configuration.Parse(text); err != nil {
				panic(err)
			}
		}) / 1000
	})
	return []slope{size, cost}
}

// relaySlope measures the CPU time of streaming a token from one host to the next.
// Both hosts run in this process.
func relaySlope() (slope, error) {
	result := slope{Name: "relay: processor of a token, both ends of a hop", Unit: "us"}
	logger := &log.Logger{Handler: discard.Default}
	server := peer.NewTransport("b", "b-1", "secret-secret-secret", clockwork.NewRealClock(), logger, func(_ context.Context, request peer.Request, send func(any) error) error {
		var count int
		if err := request.Decode(&count); err != nil {
			return err
		}
		for range count {
			if err := send(tokenEvent{Text: "word "}); err != nil {
				return err
			}
		}
		return nil
	})
	if err := server.Listen("127.0.0.1:0"); err != nil {
		return result, err
	}
	defer server.Close()
	caller := peer.NewTransport("a", "a-1", "secret-secret-secret", clockwork.NewRealClock(), logger, nil)
	defer caller.Close()
	for _, count := range []int{500, 1000, 2000} {
		var callErr error
		tokenMicros := cpuMicrosPerRun(10, func(int) {
			callErr = caller.Call(context.Background(), server.Address(), "stream", count, func(value peer.Value) error {
				var event tokenEvent
				return value.Decode(&event)
			})
		}) / float64(count)
		if callErr != nil {
			return result, callErr
		}
		result.Sizes = append(result.Sizes, count)
		result.Values = append(result.Values, tokenMicros)
	}
	return result, nil
}
