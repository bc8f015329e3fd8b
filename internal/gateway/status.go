package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// Status is the state of a host that operators can query.
type Status struct {
	Host             string             `json:"host"`
	DataCentre       string             `json:"data_centre"`
	Incarnation      string             `json:"incarnation"`
	Build            string             `json:"build,omitempty"`       // commit
	Protocol         int                `json:"protocol,omitempty"`    // of membership
	Aggregating      bool               `json:"aggregating,omitempty"` // other hosts may report to it
	Started          time.Time          `json:"started"`
	Ready            bool               `json:"ready"`
	Stopping         bool               `json:"stopping"`
	Version          int64              `json:"configuration_version"`
	ConfigurationAge string             `json:"configuration_age"` // time since the store last confirmed the version
	StoreReached     bool               `json:"store_reached"`
	StoreLastFailed  string             `json:"store_last_failed,omitempty"`
	RequestsInFlight int64              `json:"requests_under_way"`
	Targets          int                `json:"targets"`
	TargetsLost      bool               `json:"targets_lost"` // the host itself can connect to none of them
	TargetLimits     []TargetLimit      `json:"target_limits,omitempty"`
	TargetSpeeds     []TargetSpeed      `json:"target_speeds,omitempty"`
	ColdTargets      []ColdTarget       `json:"targets_cold,omitempty"`
	Evacuations      []EvacuationStatus `json:"evacuations,omitempty"`
	Peers            []PeerStatus       `json:"peers"`
	Unreachable      []string           `json:"lost"` // the store, if its direct path fails, and the unreachable hosts
}

// TargetLimit is the request limit that a target announces.
type TargetLimit struct {
	Target    string  `json:"target"`
	PerSecond float64 `json:"per_second"`
	Age       string  `json:"age"` // time since a host has received the announcement
}

// PeerStatus is the last known state of another reachable host.
type PeerStatus struct {
	Host         string `json:"host"`
	DataCentre   string `json:"data_centre"`
	Version      int64  `json:"configuration_version,omitempty"` // unknown in fleets with aggregators
	StoreReached bool   `json:"store_reached"`
	Protocol     int    `json:"protocol,omitempty"` // of membership
}

// Status returns the state of the host.
func (gateway *Gateway) Status() Status {
	status := Status{
		Host: gateway.self.Host, DataCentre: gateway.self.DataCentre, Incarnation: gateway.self.Incarnation, Started: gateway.started,
		Build: build(), Protocol: gateway.self.Protocol, Aggregating: gateway.mesh.Aggregating(),
		Ready: gateway.ready(), Stopping: gateway.stopping.Load(), StoreReached: gateway.store.DirectReachable(),
		RequestsInFlight: gateway.front.InFlight(), Targets: gateway.registry.Len(), TargetsLost: gateway.pool.Lost(), Unreachable: []string{}, Peers: []PeerStatus{},
	}
	if table := gateway.configuration.Table(); table != nil {
		status.Version = table.Version()
		status.ConfigurationAge = gateway.configuration.follower.ViewAge().Round(time.Millisecond).String()
	}
	status.Evacuations = gateway.evacuations.status()
	if failed := gateway.store.LastDirectFailure(); !failed.IsZero() {
		status.StoreLastFailed = gateway.clock.Since(failed).Round(time.Millisecond).String() + " ago"
	}
	if !status.StoreReached {
		status.Unreachable = append(status.Unreachable, "store")
	}
	for _, peer := range gateway.mesh.Reachable() {
		status.Peers = append(status.Peers, PeerStatus{
			Host: peer.Host, DataCentre: peer.DataCentre, Version: peer.Version, StoreReached: peer.StoreReachable, Protocol: peer.Protocol,
		})
	}
	for target, announcement := range gateway.targetLimits.Limits() {
		status.TargetLimits = append(status.TargetLimits, TargetLimit{
			Target: target, PerSecond: announcement.Rate, Age: gateway.clock.Since(announcement.ObservedAt).Round(time.Millisecond).String(),
		})
	}
	status.ColdTargets = gateway.coldTargets()
	slices.SortFunc(status.TargetLimits, func(left, right TargetLimit) int { return strings.Compare(left.Target, right.Target) })
	status.TargetSpeeds = gateway.targetSpeeds()
	status.Unreachable = append(status.Unreachable, gateway.mesh.UnreachableHosts()...)
	return status
}

// ExplainPath is the path at which a host explains a request.
const ExplainPath = "/explain"

// operatorHandler serves the metrics and the status of the host, and explains requests.
func (gateway *Gateway) operatorHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/metrics", gin.WrapH(gateway.metrics.Handler()))
	engine.GET("/status", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, gateway.Status()) })
	engine.POST(ExplainPath, gateway.explainRequest)
	return engine
}
