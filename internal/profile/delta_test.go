package profile

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// wholeAt returns a whole configuration of one profile as a source gives it.
func wholeAt(t testing.TB, number int64, routes []Route) *Checkpoint {
	t.Helper()
	p := &Profile{Kind: KindProfile, Name: "shop", Routes: append([]Route(nil), routes...), Policy: Policy{Retries: int(number % 3)}}
	SortRoutes(p.Routes)
	doc := Document{Profile: p}
	return &Checkpoint{Epoch: 1, Through: number, Whole: true, Entries: []Entry{{
		Key: doc.Key(), Version: Version{Epoch: 1, Number: uint64(number)}, Document: doc.Canonical(),
	}}}
}

// install makes a state of a checkpoint as a node does, after one that it held.
func install(t testing.TB, c *Checkpoint, held State) State {
	t.Helper()
	whole, err := c.Complete(held)
	assert.NilError(t, err)
	s := whole.state()
	assert.NilError(t, s.CarryOver(held))
	return s
}

// send returns what a node at a position gets from a node that holds s.
func send(t testing.TB, s State, base Position) *Checkpoint {
	t.Helper()
	c := CheckpointOf(s)
	c.Whole = true
	data, err := json.Marshal(c.Since(base))
	assert.NilError(t, err)
	out := &Checkpoint{}
	assert.NilError(t, json.Unmarshal(data, out))
	return out
}

func route(i, timeout int) Route {
	yes := true
	return Route{
		Name: fmt.Sprintf("r%03d", i), Host: "shop.example", PathPrefix: fmt.Sprintf("/p%d", i), Service: "shop", Priority: "caller",
		Idempotent: &yes, MaxAttempts: timeout, Split: []Part{{Service: "shop", Weight: 100}},
	}
}

// TestChangeOfFewRoutesIsSmall guards against a storm of configurations that
// sends every route of a service to each node for each change of some.
func TestChangeOfFewRoutesIsSmall(t *testing.T) {
	var routes []Route
	for i := range 300 {
		routes = append(routes, route(i, 1))
	}
	sender := install(t, wholeAt(t, 1, routes), State{})
	receiver := install(t, wholeAt(t, 1, routes), State{})
	whole := len(sender.Entries[Key{KindProfile, "shop"}].Document)
	routes[7] = route(7, 2)
	routes = append(routes[:100], routes[101:]...)
	sender = install(t, wholeAt(t, 2, routes), sender)
	c := send(t, sender, receiver.Position)
	data, err := json.Marshal(c)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < whole/10, "%d bytes for a change of a document of %d", len(data), whole)
	got := install(t, c, receiver)
	assert.DeepEqual(t, got.Entries[Key{KindProfile, "shop"}].Document, sender.Entries[Key{KindProfile, "shop"}].Document)
}

// TestChangesReachEveryVersion guards against a node that holds a mixture of
// two versions after it took a change from a node that saw other versions.
func TestChangesReachEveryVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routes := map[int]int{}
		var truth []*Checkpoint
		for number := range int64(rapid.IntRange(3, 12).Draw(rt, "versions")) {
			for range rapid.IntRange(0, 4).Draw(rt, "edits") {
				i := rapid.IntRange(0, 9).Draw(rt, "route")
				if _, there := routes[i]; there && rapid.Bool().Draw(rt, "remove") {
					delete(routes, i)
					continue
				}
				routes[i] = rapid.IntRange(0, 5).Draw(rt, "attempts")
			}
			var list []Route
			for i, attempts := range routes {
				list = append(list, route(i, attempts))
			}
			truth = append(truth, wholeAt(t, number+1, list))
		}
		nodes := make([]State, 3)
		for step := range rapid.IntRange(3, 20).Draw(rt, "steps") {
			to := rapid.IntRange(0, len(nodes)-1).Draw(rt, fmt.Sprint("to", step))
			from := rapid.IntRange(0, len(nodes)-1).Draw(rt, fmt.Sprint("from", step))
			var c *Checkpoint
			if from == to || nodes[from].Entries == nil {
				c = truth[rapid.IntRange(0, len(truth)-1).Draw(rt, fmt.Sprint("read", step))]
			} else {
				c = send(t, nodes[from], nodes[to].Position)
			}
			if c.Through <= nodes[to].Position.Offset {
				continue
			}
			whole, err := c.Complete(nodes[to])
			if err != nil { // the node asks for the whole state
				whole = send(t, nodes[from], Position{})
			}
			s := whole.state()
			assert.NilError(rt, s.CarryOver(nodes[to]))
			nodes[to] = s
			want := truth[c.Through-1].Entries[0]
			assert.Equal(rt, string(s.Entries[want.Key].Document), string(want.Document))
		}
	})
}

// FuzzChange guards against a change from another node that makes a node panic
// or hold a document that differs from what the sender meant.
func FuzzChange(f *testing.F) {
	held := install(f, wholeAt(f, 1, []Route{route(1, 1), route(2, 1), route(3, 1)}), State{})
	sender := install(f, wholeAt(f, 2, []Route{route(1, 1), route(2, 2), route(3, 1)}), held)
	data, err := json.Marshal(send(f, sender, held.Position))
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"changes":[{"entry":{"key":{"kind":"profile","name":"shop"}},"names":"AAA="}]}`))
	f.Add([]byte(`{"changes":[{"entry":{"key":{"kind":"profile","name":"other"},"document":{}}}],"kept":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Checkpoint{}
		if json.Unmarshal(data, c) != nil {
			return
		}
		whole, err := c.Complete(held)
		if err != nil {
			return
		}
		assert.Assert(t, len(whole.Changes) == 0 && len(whole.Kept) == 0)
		_ = whole.state().CarryOver(held) // an error refuses the state
	})
}

// TestDocumentThatChangedBackIsTold guards against a node that keeps a document
// of a version which the sender skipped, because the sender saw no change.
func TestDocumentThatChangedBackIsTold(t *testing.T) {
	before, between := []Route{route(1, 1), route(2, 1), route(3, 1)}, []Route{route(1, 1), route(2, 5), route(3, 1)}
	sender := install(t, wholeAt(t, 3, before), State{})
	sender = install(t, wholeAt(t, 6, before), sender) // it skipped version 4
	receiver := install(t, wholeAt(t, 4, between), State{})
	_, err := send(t, sender, receiver.Position).Complete(receiver)
	assert.ErrorContains(t, err, "not held as it was meant")
}
