package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/standin"
)

// newLockedRandom returns a source of random numbers from 0 to 1 that is safe for
// concurrent use.
func newLockedRandom(seed uint64) func() float64 {
	var mutex sync.Mutex
	source := rand.New(rand.NewPCG(seed, 9))
	return func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		return source.Float64()
	}
}

type platformCommand struct {
	console   *console
	Address   string        `long:"address" default:"127.0.0.1:7000" description:"address to serve on"`
	Retention time.Duration `long:"retention" default:"24h" description:"retention time of records"`
	Rate      float64       `long:"rate" default:"500" description:"maximum number of appends per second"`
	Lag       time.Duration `long:"lag" default:"3s" description:"delay before a change appears in the host list"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the random faults"`
}

// Execute serves a log and a host list until the process is interrupted.
func (command *platformCommand) Execute([]string) error {
	log := standin.NewLog(clockwork.NewRealClock(), newLockedRandom(command.Seed), command.Retention, command.Rate)
	return command.console.serve(command.Address, standin.NewPlatform(log, command.Lag).Handler())
}

type engineCommand struct {
	console *console
	Address string        `long:"address" default:"127.0.0.1:9000" description:"address to serve on"`
	Slots   int           `long:"slots" default:"8" description:"maximum number of calls in a batch"`
	Cache   int           `long:"cache" default:"200000" description:"capacity of the prefix cache in tokens"`
	Prefill time.Duration `long:"prefill" default:"100us" description:"prefill time of one prompt token"`
	Step    time.Duration `long:"step" default:"20ms" description:"time between two generated tokens"`
	LoadLag time.Duration `long:"load-lag" default:"2s" description:"delay of the reported load"`
	Fenced  bool          `long:"fenced" description:"reject requests with an outdated fencing number"`
}

// Execute serves a model engine until the process is interrupted.
func (command *engineCommand) Execute([]string) error {
	engine := standin.NewEngine(standin.EngineSettings{
		Slots: command.Slots, CacheTokens: command.Cache, PrefillPerToken: command.Prefill, TokenInterval: command.Step,
		LoadLag: command.LoadLag, Fenced: command.Fenced,
	})
	return command.console.serve(command.Address, engine.Handler())
}

type serviceCommand struct {
	console *console
	Address string        `long:"address" default:"127.0.0.1:9200" description:"address to serve on"`
	Delay   time.Duration `long:"delay" default:"20ms" description:"duration of one call"`
}

// Execute serves a plain service until the process is interrupted.
func (command *serviceCommand) Execute([]string) error {
	return command.console.serve(command.Address, standin.NewService(command.Delay))
}

// serve runs an HTTP server until the process is interrupted or terminated.
func (console *console) serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	fmt.Fprintf(console.stdout, "serving on %s\n", address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
