package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

func init() { measures["generation_build_ms"] = measureBuild }

// buildNodes are the numbers of members, with the design size among them.
var buildNodes = []int{200, 870, 3500}

const (
	buildServices = 100 // of the design size, see section 1.5 of the design page
	buildRoutes   = 5   // of each service
	buildRuns     = 50
)

// measureBuild measures a build after a change of members: ours with the
// documents that the fold parsed once, the baseline parsing them anew.
func measureBuild(_ context.Context, seed int64, report func(Result)) error {
	folded, err := buildState()
	if err != nil {
		return err
	}
	unparsed := profile.State{Position: folded.Position, Entries: map[profile.Key]profile.Entry{}}
	for k, e := range folded.Entries {
		unparsed.Entries[k] = profile.Entry{Key: e.Key, Version: e.Version, Document: e.Document}
	}
	for _, nodes := range buildNodes {
		ours, err := timeBuilds(folded, nodes)
		if err != nil {
			return err
		}
		baseline, err := timeBuilds(unparsed, nodes)
		if err != nil {
			return err
		}
		report(Result{
			Measure: "generation_build_ms", Ours: milliseconds(ours), Baseline: milliseconds(baseline), Unit: "ms", Nodes: nodes, Seed: seed,
			Note: "baseline parses every document on each build",
		})
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// buildState folds one change that publishes every service's documents.
func buildState() (profile.State, error) {
	var edits []profile.Edit
	for i := range buildServices {
		edits = append(edits, buildEdits(fmt.Sprintf("service-%d", i))...)
	}
	fold := profile.NewStateMachine(0)
	records := []profile.Record{
		{ID: "genesis", Kind: profile.RecordGenesis, Schema: profile.SchemaVersion},
		{ID: "change", Kind: profile.RecordChange, Schema: profile.SchemaVersion, Edits: edits},
	}
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return profile.State{}, errors.Wrap(err, "encode record")
		}
		if v := fold.Apply(int64(i), data); v.Outcome != profile.OutcomeAccepted {
			return profile.State{}, errors.Newf("record %s: outcome %d: %+v", r.ID, v.Outcome, v.Refusal)
		}
	}
	return fold.State(), nil
}

func buildEdits(service string) []profile.Edit {
	p := profile.Profile{Kind: profile.KindProfile, Name: service, Policy: profile.Policy{Retries: 1, LongShare: 0.5, Keys: "any"}}
	p.Policy.Timeout = jsonc.Duration(time.Second)
	for i := range buildRoutes {
		p.Routes = append(p.Routes, profile.Route{Name: fmt.Sprintf("r%d", i), Host: service + ".example", PathPrefix: fmt.Sprintf("/%d", i), Service: service, Priority: "caller"})
	}
	s := profile.Selection{Kind: profile.KindSelection, Service: service, Profile: service}
	var edits []profile.Edit
	for _, d := range []profile.Document{{Profile: &p}, {Selection: &s}} {
		edits = append(edits, profile.Edit{Op: profile.OpPublish, Key: d.Key(), Document: d.Canonical()})
	}
	return edits
}

// timeBuilds returns the mean time of a build with so many members.
func timeBuilds(s profile.State, nodes int) (time.Duration, error) {
	table := membership.NewTable()
	for i := range nodes {
		table.Merge([]membership.Member{{
			ID: fmt.Sprintf("n%04d", i), Incarnation: 1, Service: fmt.Sprintf("service-%d", i%buildServices), InboundAddress: "127.0.0.1:1", Status: membership.StatusAlive,
		}})
	}
	members := table.All()
	began := time.Now()
	for i := range buildRuns {
		g, found := snapshot.Build(uint64(i)+1, s, members)
		if err := found.Err(); err != nil {
			return 0, err
		}
		if want := buildServices * buildRoutes; len(g.Routes) != want {
			return 0, errors.Newf("generation has %d routes, want %d", len(g.Routes), want)
		}
	}
	return time.Since(began) / buildRuns, nil
}
