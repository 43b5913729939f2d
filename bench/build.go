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

func init() { measurements["generation_build_ms"] = measureSnapshotBuild }

// buildMemberCounts are the numbers of members to measure, including that of the
// design size.
var buildMemberCounts = []int{200, 870, 3500}

const (
	buildServices    = 100 // at the design size, see section 1.5 of the design page
	buildRoutes      = 5   // per service
	buildRepetitions = 50
)

// measureSnapshotBuild measures building a snapshot after a membership change.
// Ours uses the documents that the state machine has parsed; the baseline parses
// them on every build.
func measureSnapshotBuild(_ context.Context, seed int64, report func(Result)) error {
	parsed, err := newProfileState()
	if err != nil {
		return err
	}
	unparsed := profile.State{Position: parsed.Position, Entries: map[profile.Key]profile.Entry{}}
	for k, e := range parsed.Entries {
		unparsed.Entries[k] = profile.Entry{Key: e.Key, Version: e.Version, Document: e.Document}
	}
	for _, nodes := range buildMemberCounts {
		ours, err := meanBuildTime(parsed, nodes)
		if err != nil {
			return err
		}
		baseline, err := meanBuildTime(unparsed, nodes)
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

// newProfileState applies one change that publishes the documents of all
// services.
func newProfileState() (profile.State, error) {
	var edits []profile.Edit
	for i := range buildServices {
		edits = append(edits, serviceEdits(fmt.Sprintf("service-%d", i))...)
	}
	machine := profile.NewStateMachine(0)
	records := []profile.Record{
		{ID: "genesis", Kind: profile.RecordGenesis, Schema: profile.SchemaVersion},
		{ID: "change", Kind: profile.RecordChange, Schema: profile.SchemaVersion, Edits: edits},
	}
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return profile.State{}, errors.Wrap(err, "encode record")
		}
		if v := machine.Apply(int64(i), data); v.Outcome != profile.OutcomeAccepted {
			return profile.State{}, errors.Newf("record %s: outcome %d: %+v", r.ID, v.Outcome, v.Refusal)
		}
	}
	return machine.State(), nil
}

func serviceEdits(service string) []profile.Edit {
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

// meanBuildTime returns the mean time of a build with the given number of
// members.
func meanBuildTime(s profile.State, nodes int) (time.Duration, error) {
	table := membership.NewTable()
	for i := range nodes {
		table.Merge([]membership.Member{{
			ID: fmt.Sprintf("n%04d", i), Incarnation: 1, Service: fmt.Sprintf("service-%d", i%buildServices), InboundAddress: "127.0.0.1:1", Status: membership.StatusAlive,
		}})
	}
	members := table.All()
	start := time.Now()
	for i := range buildRepetitions {
		built, findings := snapshot.Build(uint64(i)+1, s, members)
		if err := findings.Err(); err != nil {
			return 0, err
		}
		if want := buildServices * buildRoutes; len(built.Routes) != want {
			return 0, errors.Newf("snapshot has %d routes, want %d", len(built.Routes), want)
		}
	}
	return time.Since(start) / buildRepetitions, nil
}
