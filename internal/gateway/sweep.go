package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	sweepInterval = 90 * time.Second // turns expire after about a minute
	maxSweepDelay = 5 * time.Second  // by which a sweep begins later, because many hosts start at once
)

// sweptTopic is a topic whose partitions are swept by hosts that a constraint allows.
type sweptTopic struct {
	name       string
	constraint *region.Constraint
	newExpiry  func(now time.Time) store.Expiry
}

// sweepDelayed sweeps after a random delay.
func (gateway *Gateway) sweepDelayed() {
	select {
	case <-gateway.clock.After(rand.N(maxSweepDelay)):
		gateway.sweepExpired()
	case <-gateway.ctx.Done():
	}
}

// sweepExpired deletes expired records of budgets, turns and streams from the store. A
// topic of turns with home regions is left to hosts there, because a sweep reads the texts.
func (gateway *Gateway) sweepExpired() {
	newTurnExpiry := func(now time.Time) store.Expiry { return history.NewExpiry(now) }
	topics := []sweptTopic{
		{budget.Topic, nil, func(now time.Time) store.Expiry { return budget.NewExpiry(now) }},
		{history.Topic, nil, newTurnExpiry},
		{origin.Topic, nil, func(now time.Time) store.Expiry { return origin.NewExpiry(now) }},
	}
	for _, constraint := range gateway.histories.Confined() {
		topics = append(topics, sweptTopic{history.TopicOf(constraint), constraint, newTurnExpiry})
	}
	for _, topic := range topics {
		for partition := range gateway.settings.Store.Partitions {
			gateway.sweepPartition(topic, partition)
		}
	}
}

// sweepPartition sweeps a partition as long as this host is the coordinator of its name,
// so that the other hosts do not repeat its work.
func (gateway *Gateway) sweepPartition(topic sweptTopic, partition int) {
	coordinates := func() bool {
		return gateway.mesh.CoordinatesWithin(topic.constraint, fmt.Sprintf("%s/%d", topic.name, partition))
	}
	if gateway.ctx.Err() != nil || !coordinates() {
		return
	}
	err := gateway.expirer.Sweep(region.NewContext(gateway.ctx, topic.constraint), store.Sweep{
		Store: gateway.store, Topic: topic.name, Partition: partition, Expiry: topic.newExpiry(gateway.clock.Now()), Continue: coordinates,
	})
	if err != nil && gateway.ctx.Err() == nil {
		gateway.logger.WithError(err).WithFields(log.Fields{"topic": topic.name, "part": partition}).Warn("sweeping expired records from a partition failed; the next sweep begins anew")
	}
}
