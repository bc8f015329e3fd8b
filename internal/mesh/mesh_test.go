package mesh

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

func meshOf(clock clockwork.Clock, host, dataCentre string) *Mesh {
	own := Member{Host: host, Incarnation: host + "/1", Address: host + ":1", DataCentre: dataCentre}
	return New(own, clock, &log.Logger{Handler: discard.Default}, func() Status { return Status{} }, func(Status) {})
}

func told(host, dataCentre string) Status {
	return Status{Member: Member{Host: host, Incarnation: host + "/1", Address: host + ":1", DataCentre: dataCentre}}
}

// TestMembership covers hosts that are found, fall silent, start anew and are
// forgotten.
func TestMembership(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	mesh := meshOf(clock, "a1", "a")
	entry, err := codec.Marshal(told("b1", "b").Member)
	is.NoErr(err)
	mesh.Apply([]store.Record{{Key: "b1", Value: entry}, {Key: "x", Value: []byte("unreadable")}, {Key: "gone"}}, true)
	is.Equal(len(mesh.Live()), 0) // listed, not heard
	mesh.Hear(told("b1", "b"))
	mesh.Hear(told("a2", "a"))
	is.Equal(mesh.Live()[0].Member.Host, "a2") // the own data centre first
	is.True(mesh.Elsewhere())
	heard, alone := mesh.Portion()
	is.Equal(heard, 1.0)
	is.True(alone > 0.33 && alone < 0.34)
	clock.Advance(heardTime + time.Millisecond)
	mesh.Hear(told("a2", "a"))
	is.Equal(mesh.SilentHosts(), []string{"b1"})
	is.Equal(mesh.SilentDataCentres(), map[string]bool{"b": true})
	is.True(!mesh.Elsewhere())
	_, found, replaced := mesh.ByIncarnation("b1/1")
	is.True(found && !replaced)
	again := told("b1", "b")
	again.Member.Incarnation = "b1/2"
	mesh.Hear(again)
	_, found, replaced = mesh.ByIncarnation("b1/1")
	is.True(!found && replaced) // what it held is lost for good
	clock.Advance(memberTime + time.Second)
	mesh.due(clock.Now())
	is.Equal(len(mesh.SilentHosts()), 0)
}

// TestHomes checks that hosts that hear each other agree on homes, that homes
// are spread, and that a silent or stopping host is nobody's home.
func TestHomes(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	names := []string{"a1", "a2", "b1", "b2", "c1"}
	meshes := make(map[string]*Mesh)
	for _, name := range names {
		meshes[name] = meshOf(clock, name, name[:1])
		for _, other := range names {
			meshes[name].Hear(told(other, other[:1]))
		}
	}
	counts := make(map[string]int)
	for number := range 500 {
		program := fmt.Sprint("p", number)
		home, _ := meshes["a1"].homeOf(program, "")
		counts[home.Host]++
		for _, name := range names {
			other, self := meshes[name].homeOf(program, "")
			is.Equal(other.Host, home.Host)
			is.Equal(self, name == home.Host)
		}
		near, _ := meshes["b2"].homeOf(program, "b")
		is.Equal(near.DataCentre, "b")
		far, self := meshes["b2"].homeOf(program, "a")
		same, _ := meshes["a1"].homeOf(program, "a")
		is.True(!self)
		is.Equal(far.Host, same.Host)
	}
	for _, name := range names {
		is.True(counts[name] > 50) // name
	}
	stopping := told("b1", "b")
	stopping.Stopping = true
	meshes["b2"].Hear(stopping)
	for number := range 100 {
		home, _ := meshes["b2"].homeOf(fmt.Sprint("p", number), "b")
		is.Equal(home.Host, "b2")
	}
}

// TestRelayedErrors checks that errors of the store's own stay the same over
// the mesh, and that others end the call.
func TestRelayedErrors(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{store.ErrTrimmed, store.ErrFull, store.ErrInvalid} {
		answer, failed := storeAnswer{}.with(fmt.Errorf("append: %w", err))
		is.NoErr(failed)
		is.True(errors.Is(answer.err(), err))
	}
	answer, failed := storeAnswer{}.with(&store.SequenceError{Expected: 5})
	is.NoErr(failed)
	var sequence *store.SequenceError
	is.True(errors.As(answer.err(), &sequence) && sequence.Expected == 5)
	_, failed = storeAnswer{}.with(context.DeadlineExceeded)
	is.True(failed != nil)
	answer, failed = storeAnswer{Offset: 7}.with(nil)
	is.NoErr(failed)
	is.NoErr(answer.err())
	is.Equal(answer.Offset, int64(7))
}
