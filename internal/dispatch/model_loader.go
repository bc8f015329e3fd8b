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

// SlotOwnership reports which slots this host owns.
type SlotOwnership interface {
	// OwnedEpoch returns the epoch in which the host owns a slot, and false if the
	// host doesn't own the slot or can't prove that it does.
	OwnedEpoch(slot int) (epoch uint64, ok bool)
}

// ModelLoader makes the engines of a data centre load the models of the
// configuration. The owner of a service's slot sends the load orders. It loads
// one engine at a time, because the weight store is rate-limited.
type ModelLoader struct {
	clock      clockwork.Clock
	metrics    *metric.Metrics
	client     *Client
	dataCentre string
	ownership  SlotOwnership

	mutex    sync.Mutex
	text     *configuration.Text
	version  uint64
	observed map[int]observedOwnership // by slot
}

// observedOwnership is an epoch in which this host owns a slot, and the time at
// which the host first observed it.
type observedOwnership struct {
	epoch uint64
	since time.Time
}

const (
	reconcileInterval = 2 * time.Second
	requestTimeout    = time.Second // shorter than an owner's lease
	loadPollInterval  = 500 * time.Millisecond
	loadTimeout       = 5 * time.Minute
	versionBits       = 24 // low bits of a fencing token, which contain the configuration's version
)

var errFenced = errors.New("target has received a newer fencing token")

// NewModelLoader returns a model loader without a configuration.
func NewModelLoader(clock clockwork.Clock, metrics *metric.Metrics, dataCentre string, ownership SlotOwnership) *ModelLoader {
	return &ModelLoader{
		clock: clock, metrics: metrics, client: NewClient(clock), dataCentre: dataCentre, ownership: ownership,
		text: &configuration.Text{}, observed: make(map[int]observedOwnership),
	}
}

// SetText applies a new configuration.
func (loader *ModelLoader) SetText(text *configuration.Text, version uint64) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.text, loader.version = text, version
}

// Run reconciles the models of engines with the configuration until the context
// is cancelled. A target that ignores fencing tokens may accept a delayed order
// of an earlier owner, which the next reconciliation corrects.
func (loader *ModelLoader) Run(ctx context.Context) {
	for {
		loader.Reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-loader.clock.After(reconcileInterval):
		}
	}
}

// Reconcile checks each engine of the data centre once. It orders an engine to
// load its configured model if another model is loaded.
func (loader *ModelLoader) Reconcile(ctx context.Context) {
	loader.mutex.Lock()
	services := loader.text.Services
	loader.mutex.Unlock()
	for _, service := range services {
		if service.Model == "" {
			continue
		}
		for _, configured := range service.Targets {
			if configured.DataCentre == loader.dataCentre {
				loader.ensureModel(ctx, service, configured.Address)
			}
		}
	}
}

// fencingToken returns the fencing token for orders of a service, and false if
// this host may not send orders now.
func (loader *ModelLoader) fencingToken(service configuration.Service) (uint64, bool) {
	slot := int(xxhash.Sum64String("orders\x00"+service.Name) % ledger.SlotCount)
	epoch, ok := loader.ownership.OwnedEpoch(slot)
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if !ok {
		delete(loader.observed, slot)
		return 0, false
	}
	now := loader.clock.Now()
	if loader.observed[slot].epoch != epoch {
		loader.observed[slot] = observedOwnership{epoch: epoch, since: now}
	}
	// An earlier owner may send orders until its lease has expired. Targets that
	// check the fencing token reject them.
	if !service.Fencing && epoch > 1 && now.Sub(loader.observed[slot].since) < workspace.TakeoverWait {
		return 0, false
	}
	return epoch<<versionBits | loader.version&(1<<versionBits-1), true
}

// ensureModel orders one target to load the model of a service if another model
// is loaded, and waits until the target has loaded it.
func (loader *ModelLoader) ensureModel(ctx context.Context, service configuration.Service, address string) {
	loaded, err := loader.loadedModel(ctx, address)
	if err != nil || loaded == service.Model {
		return
	}
	token, ok := loader.fencingToken(service)
	if !ok {
		return
	}
	if err := loader.sendOrder(ctx, address, token, service.Model); err != nil {
		name := "order_failed"
		if errors.Is(err, errFenced) {
			name = "order_fenced"
		}
		loader.metrics.Count(name)
		return
	}
	loader.metrics.Count("order_given")
	for deadline := loader.clock.Now().Add(loadTimeout); loader.clock.Now().Before(deadline) && ctx.Err() == nil; {
		if loaded, err := loader.loadedModel(ctx, address); err == nil && loaded == service.Model {
			return
		}
		select {
		case <-ctx.Done():
		case <-loader.clock.After(loadPollInterval):
		}
	}
}

// loadedModel returns the model that a target has loaded.
func (loader *ModelLoader) loadedModel(ctx context.Context, address string) (string, error) {
	var report struct {
		Model string `json:"model"`
	}
	err := loader.doJSON(ctx, http.MethodGet, "http://"+address+"/load", nil, &report)
	return report.Model, err
}

func (loader *ModelLoader) sendOrder(ctx context.Context, address string, token uint64, model string) error {
	order := struct {
		Fence uint64 `json:"fence"`
		Model string `json:"model"`
	}{token, model}
	data, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return loader.doJSON(ctx, http.MethodPost, "http://"+address+"/orders", data, &struct{}{})
}

func (loader *ModelLoader) doJSON(ctx context.Context, method, endpoint string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := loader.client.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusConflict:
		return errFenced
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("target answered %s", response.Status)
	}
	return json.Unmarshal(data, result)
}
