package owner

import (
	"context"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/program"
)

// step passes an event to the state machine and performs the resulting effects.
// It must run in the loop.
func (owner *Owner) step(event program.Event) {
	for _, effect := range owner.machine.Step(owner.clock.Now(), event) {
		owner.perform(effect)
	}
}

func (owner *Owner) perform(effect program.Effect) {
	switch effect := effect.(type) {
	case program.Append:
		for _, record := range effect.Records {
			if !owner.ledgerWriter.write(record) {
				owner.metrics.Count("ledger_ring_full")
			}
		}
	case program.StoreEntry:
		if !owner.historyWriter.write(effect.Entry) {
			owner.metrics.Count("history_ring_full")
		}
	case program.LoadHistory:
		go owner.load(effect)
	case program.Replicate:
		go owner.replicate(effect)
	case program.Gather:
		owner.scheduleEarlyRefresh()
		go owner.gather(effect)
	case program.Dispatch:
		owner.dispatch(effect)
	case program.Attach:
		owner.attach(effect)
	case program.Cancel:
		if call, ok := owner.running[callKey{effect.Program, effect.Call}]; ok {
			call.cancel()
		}
	case program.Release:
		go owner.runner.Release(owner.ctx, effect.Program)
	case program.Reply:
		owner.reply(effect)
	case program.IncrementCounter:
		owner.metrics.Count(effect.Name)
	}
}

// post queues an event for the state machine. It is called from other
// goroutines than the loop.
func (owner *Owner) post(event program.Event) {
	owner.loop.Post(func() { owner.step(event) })
}

func (owner *Owner) postHistoryStored(entries []ledger.Entry, position Position) {
	for index, entry := range entries {
		owner.post(program.HistoryStored{
			Program: entry.Program, Call: entry.Call, Number: entry.Number,
			Location: ledger.Location{Offset: position.Offset, Index: position.Preceding + index + 1},
		})
	}
}

func (owner *Owner) load(effect program.LoadHistory) {
	ctx, cancel := context.WithTimeout(owner.ctx, loadTimeout)
	defer cancel()
	entries, err := loadHistory(ctx, owner.log, platform.HistoryStream(owner.settings.DataCentre), effect.Head)
	if err != nil {
		owner.metrics.Count("history_load_failed")
	}
	owner.post(program.HistoryLoaded{Program: effect.Program, Head: effect.Head, Entries: entries, Err: err})
}

func (owner *Owner) replicate(effect program.Replicate) {
	ctx, cancel := context.WithTimeout(owner.ctx, replicateTimeout)
	defer cancel()
	if owner.peers.Replicate(ctx, ReplicateRequest{Slot: effect.Slot, Epoch: effect.Epoch, Entry: effect.Entry}) {
		owner.post(program.Replicated{Program: effect.Entry.Program, Number: effect.Entry.Number})
		return
	}
	owner.metrics.Count("replicate_failed")
}

func (owner *Owner) gather(effect program.Gather) {
	ctx, cancel := context.WithTimeout(owner.ctx, gatherTimeout)
	defer cancel()
	request := GatherRequest{Slot: effect.Slot, Epoch: effect.Epoch}
	responses := owner.peers.Gather(ctx, request)
	owner.loop.Post(func() {
		gathered := program.Gathered{Slot: effect.Slot, Epoch: effect.Epoch}
		responses = append(responses, owner.fenceSlot(request))
		for _, response := range responses {
			gathered.Entries = append(gathered.Entries, response.Entries...)
			gathered.Fenced = append(gathered.Fenced, response.Incarnation)
		}
		owner.step(gathered)
		owner.publish()
	})
}

// dispatch runs a call on a target and collects its text for the subscribers.
func (owner *Owner) dispatch(effect program.Dispatch) {
	ctx, cancel := context.WithCancel(owner.ctx)
	key := callKey{effect.Program, effect.Call}
	call := &runningCall{cancel: cancel, stream: newTextStream(effect.Partial)}
	owner.running[key] = call
	go func() {
		defer cancel()
		result := owner.runner.Run(ctx, effect, call.stream.write)
		owner.loop.Post(func() {
			if owner.running[key] == call {
				delete(owner.running, key)
			}
			owner.step(result)
		})
	}()
}

func (owner *Owner) attach(effect program.Attach) {
	waiter, waiting := owner.waiters[effect.ReplyToken]
	call, running := owner.running[callKey{effect.Program, effect.Call}]
	if waiting && running {
		select {
		case waiter.stream <- call.stream:
		default:
		}
	}
}

func (owner *Owner) reply(effect program.Reply) {
	waiter, ok := owner.waiters[effect.ReplyToken]
	if !ok {
		return
	}
	delete(owner.waiters, effect.ReplyToken)
	waiter.reply <- effect
}
