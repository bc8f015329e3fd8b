package gateway

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
)

// Status is the state of a host that operators can query.
type Status struct {
	Host             string       `json:"host"`
	DataCentre       string       `json:"data_centre"`
	Incarnation      string       `json:"incarnation"`
	Started          time.Time    `json:"started"`
	Ready            bool         `json:"ready"`
	Stopping         bool         `json:"stopping"`
	Version          int64        `json:"configuration_version"`
	ConfigurationAge string       `json:"configuration_age"` // time since the store last confirmed the version
	StoreReached     bool         `json:"store_reached"`
	StoreLastFailed  string       `json:"store_last_failed,omitempty"`
	RequestsInFlight int64        `json:"requests_under_way"`
	Targets          int          `json:"targets"`
	Peers            []PeerStatus `json:"peers"`
	Unreachable      []string     `json:"lost"` // the store, if its direct path fails, and the unreachable hosts
}

// PeerStatus is the last known state of another reachable host.
type PeerStatus struct {
	Host         string `json:"host"`
	DataCentre   string `json:"data_centre"`
	Version      int64  `json:"configuration_version"`
	StoreReached bool   `json:"store_reached"`
}

// Status returns the state of the host.
func (gateway *Gateway) Status() Status {
	status := Status{
		Host: gateway.self.Host, DataCentre: gateway.self.DataCentre, Incarnation: gateway.self.Incarnation, Started: gateway.started,
		Ready: gateway.ready(), Stopping: gateway.stopping.Load(), StoreReached: gateway.store.DirectReachable(),
		RequestsInFlight: gateway.front.InFlight(), Targets: gateway.registry.Len(), Unreachable: []string{}, Peers: []PeerStatus{},
	}
	if table := gateway.configuration.Table(); table != nil {
		status.Version = table.Version()
		status.ConfigurationAge = gateway.clock.Since(gateway.configuration.follower.ConfirmedAt()).Round(time.Millisecond).String()
	}
	if failed := gateway.store.LastDirectFailure(); !failed.IsZero() {
		status.StoreLastFailed = gateway.clock.Since(failed).Round(time.Millisecond).String() + " ago"
	}
	if !status.StoreReached {
		status.Unreachable = append(status.Unreachable, "store")
	}
	for _, peer := range gateway.mesh.ReachableStatuses() {
		status.Peers = append(status.Peers, PeerStatus{
			Host: peer.Member.Host, DataCentre: peer.Member.DataCentre, Version: peer.Version, StoreReached: peer.StoreReachable,
		})
	}
	status.Unreachable = append(status.Unreachable, gateway.mesh.UnreachableHosts()...)
	return status
}

// operatorHandler serves the metrics and the status of the host.
func (gateway *Gateway) operatorHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/metrics", gin.WrapH(gateway.metrics.Handler()))
	engine.GET("/status", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, gateway.Status()) })
	return engine
}
