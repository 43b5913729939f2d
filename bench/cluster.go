package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// clusterSizes are the numbers of nodes that run in one process. Figures for the
// design size are extrapolated from them.
var clusterSizes = []int{12, 30, 60, 120}

// Delays and failure domains of the example organisation, with a fifth failure
// domain as at the design size.
const (
	domainDelay = 500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
	logRegion   = "gaucho"
)

var clusterDomains = []cluster.Domain{
	{Region: "gaucho", Name: "poa-a"}, {Region: "litoral", Name: "floripa-a"}, {Region: "gaucho", Name: "poa-b"},
	{Region: "litoral", Name: "floripa-b"}, {Region: "gaucho", Name: "poa-c"},
}

// startCluster starts nodes with a configuration of the design size and waits
// until all are ready and see all members.
func startCluster(ctx context.Context, nodes int) (*cluster.Cluster, error) {
	c := cluster.New(cluster.Config{
		Nodes: nodes, Domains: clusterDomains, LogRegion: logRegion, DomainDelay: domainDelay, RegionDelay: regionDelay,
	})
	if err := c.Init(ctx); err != nil {
		return nil, err
	}
	if err := publishServices(ctx, c); err != nil {
		return nil, err
	}
	c.StartAll()
	err := waitUntil(ctx, func() bool { return allReady(c) && membershipComplete(c) })
	if err != nil {
		c.StopAll()
		return nil, errors.Wrapf(err, "start %d nodes", nodes)
	}
	return c, nil
}

// serviceCount is that of the design size.
const serviceCount = 100

// publishServices publishes one profile for each service in one change.
func publishServices(ctx context.Context, c *cluster.Cluster) error {
	var edits []profile.Edit
	for i := range serviceCount {
		name := fmt.Sprintf("service-%02d", i)
		doc := fmt.Sprintf(`{"kind":"profile","name":%q,"routes":[{"name":"all","host":"%s.example","pathPrefix":"/","service":%q}]}`, name, name, name)
		edits = append(edits, profile.Edit{
			Op: profile.OpPublish, Key: profile.Key{Kind: profile.KindProfile, Name: name}, Document: json.RawMessage(doc),
		})
	}
	_, err := c.Append(ctx, profile.Record{Kind: profile.RecordChange, Edits: edits})
	return err
}

func allReady(c *cluster.Cluster) bool {
	return !slices.ContainsFunc(c.Nodes, func(n *cluster.Node) bool { return !n.Agent().Ready() })
}

func membershipComplete(c *cluster.Cluster) bool {
	return !slices.ContainsFunc(c.Nodes, func(n *cluster.Node) bool { return len(n.Agent().Table.All()) < len(c.Nodes) })
}

// waitPollInterval is the resolution of waitUntil, which is used only outside
// measured periods and for measured periods of seconds.
const waitPollInterval = 10 * time.Millisecond

func waitUntil(ctx context.Context, condition func() bool) error {
	tick := time.NewTicker(waitPollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait")
		}
	}
	return nil
}

// logReads returns the number of reads that all nodes have sent to the log.
func logReads(c *cluster.Cluster) (sum int64) {
	for _, n := range c.Nodes {
		sum += n.Log.Reads()
	}
	return sum
}
