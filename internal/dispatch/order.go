package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// Holding tells which slots this host can prove to own.
type Holding interface {
	Held(slot int) (epoch uint64, ok bool)
}

// Orderer sees to it that the engines of a data centre have the models of the
// text. The owner of a service's slot gives the orders, one engine after the
// other, because the weight store is rate-limited.
type Orderer struct {
	clock      clockwork.Clock
	metrics    *metric.Metrics
	client     *Client
	dataCentre string
	holding    Holding

	mutex   sync.Mutex
	text    *configuration.Text
	version uint64
	since   map[int]tenure // by slot, when this host's ownership was first seen
}

// tenure is an ownership that this host has seen itself in.
type tenure struct {
	epoch uint64
	since time.Time
}

const (
	orderInterval = 2 * time.Second
	orderTimeout  = time.Second // ends before a holder's lease does
	loadPoll      = 500 * time.Millisecond
	loadTimeout   = 5 * time.Minute
	versionBits   = 24 // of a fencing number
)

var errFenced = errors.New("target has seen a newer fencing number")

// NewOrderer returns an orderer without a configuration.
func NewOrderer(clock clockwork.Clock, metrics *metric.Metrics, dataCentre string, holding Holding) *Orderer {
	return &Orderer{
		clock: clock, metrics: metrics, client: NewClient(clock), dataCentre: dataCentre, holding: holding,
		text: &configuration.Text{}, since: make(map[int]tenure),
	}
}

// SetText applies a new configuration.
func (orderer *Orderer) SetText(text *configuration.Text, version uint64) {
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	orderer.text, orderer.version = text, version
}

// Run compares engines with the text until the context ends. A target that
// ignores fencing numbers may take a late order of an earlier owner; the next
// round puts it right.
func (orderer *Orderer) Run(ctx context.Context) {
	for {
		orderer.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-orderer.clock.After(orderInterval):
		}
	}
}

// Round orders what is missing once.
func (orderer *Orderer) Round(ctx context.Context) {
	orderer.mutex.Lock()
	services := orderer.text.Services
	orderer.mutex.Unlock()
	for _, service := range services {
		if service.Model == "" {
			continue
		}
		for _, place := range service.Targets {
			if place.DataCentre == orderer.dataCentre {
				orderer.ensure(ctx, service, place.Address)
			}
		}
	}
}

// fence returns the number for orders of a service, and false if this host may
// not give any now.
func (orderer *Orderer) fence(service configuration.Service) (uint64, bool) {
	slot := int(xxhash.Sum64String("orders\x00"+service.Name) % ledger.SlotCount)
	epoch, ok := orderer.holding.Held(slot)
	orderer.mutex.Lock()
	defer orderer.mutex.Unlock()
	if !ok {
		delete(orderer.since, slot)
		return 0, false
	}
	now := orderer.clock.Now()
	if orderer.since[slot].epoch != epoch {
		orderer.since[slot] = tenure{epoch: epoch, since: now}
	}
	// An earlier owner may act until its lease has run out. Targets that check
	// the number refuse it by themselves.
	if !service.Fencing && epoch > 1 && now.Sub(orderer.since[slot].since) < workspace.TakeoverWait {
		return 0, false
	}
	return epoch<<versionBits | orderer.version&(1<<versionBits-1), true
}

// ensure orders the model of a service on one target, if it has another, and
// waits until it is loaded.
func (orderer *Orderer) ensure(ctx context.Context, service configuration.Service, address string) {
	loaded, err := orderer.loaded(ctx, address)
	if err != nil || loaded == service.Model {
		return
	}
	number, ok := orderer.fence(service)
	if !ok {
		return
	}
	if err := orderer.send(ctx, address, number, service.Model); err != nil {
		name := "order_failed"
		if errors.Is(err, errFenced) {
			name = "order_fenced"
		}
		orderer.metrics.Count(name)
		return
	}
	orderer.metrics.Count("order_given")
	for limit := orderer.clock.Now().Add(loadTimeout); orderer.clock.Now().Before(limit) && ctx.Err() == nil; {
		if loaded, err := orderer.loaded(ctx, address); err == nil && loaded == service.Model {
			return
		}
		select {
		case <-ctx.Done():
		case <-orderer.clock.After(loadPoll):
		}
	}
}

// loaded asks a target for its model.
func (orderer *Orderer) loaded(ctx context.Context, address string) (string, error) {
	var report struct {
		Model string `json:"model"`
	}
	err := orderer.exchange(ctx, http.MethodGet, "http://"+address+"/load", nil, &report)
	return report.Model, err
}

func (orderer *Orderer) send(ctx context.Context, address string, number uint64, model string) error {
	order := struct {
		Fence uint64 `json:"fence"`
		Model string `json:"model"`
	}{number, model}
	data, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return orderer.exchange(ctx, http.MethodPost, "http://"+address+"/orders", data, &struct{}{})
}

func (orderer *Orderer) exchange(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := orderer.client.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxEvent))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusConflict:
		return errFenced
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("target answered %s", response.Status)
	}
	return json.Unmarshal(data, answer)
}
