package profile

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseFile guards against panics on operators' files, documents that
// change when their canonical form is parsed again, and findings without a
// location.
func FuzzParseFile(f *testing.F) {
	for _, seed := range []string{
		string(profileText("vitrine", 2)), string(selectionText("vitrine", "vitrine")), "", "[", "[]", "null", "[null, 3]",
		"// comment\n[{\"kind\": \"profile\",},]", `{"kind":"profile","name":"a","routes":null,"policy":null}`,
		`{"kind":"profile","name":"a","routes":[{"name":"r","service":"a","methods":["get",""],"host":"A:1","pathPrefix":"x"},{"name":"r","service":"a"}]}`,
		`{"kind":"selection","kind":"profile","service":"` + "\xff" + `","profile":"a"}`, `{"kind":"profile","name":"a","policy":{"retries":1e9,"timeout":"-1s"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, found := ParseFile("f.json", data)
		for _, x := range found {
			assert.Assert(t, x.Line > 0 && x.Column > 0 && x.Problem != "", "%+v", x)
		}
		if len(found) > 0 {
			return
		}
		for _, d := range docs {
			again, found := ParseFile("f.json", d.Canonical())
			assert.NilError(t, found.Err())
			assert.Equal(t, string(again[0].Canonical()), string(d.Canonical()))
		}
	})
}

// FuzzRecord guards against records that make the state machine panic and
// against refused changes that modify the entries.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		genesisText, changeText, checkpointText("k", 2, -1, "", agendaEntry(1, 3)), `{"id":"x","kind":"change","edits":[{}]}`, "{", "null",
		`{"id":"x","kind":"change","edits":[{"op":"retire","key":{"kind":"profile","name":"agenda"}}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		NewStateMachine(0).Apply(0, data)
		anchored := applyRecords(0, genesisText, changeText)
		before := entriesText(t, anchored.State())
		v := anchored.Apply(2, data)
		if v.Outcome != OutcomeAccepted {
			assert.Equal(t, entriesText(t, anchored.State()), before)
		}
		_, err := CheckpointOf(anchored.State()).State()
		assert.NilError(t, err)
	})
}

// FuzzResumedReader guards against a reader that continues from a copied state
// and reaches another state than one that read the whole log.
func FuzzResumedReader(f *testing.F) {
	f.Add([]byte(genesisText+"\n"+changeText+"\n{\n"+changeText), uint8(1))
	f.Add([]byte(changeText+"\n"+checkpointText("k", 2, -1, "", agendaEntry(1, 3))+"\n"+genesisText), uint8(2))
	f.Fuzz(func(t *testing.T, log []byte, cut uint8) {
		records := bytes.Split(log, []byte("\n"))
		full, resumed := NewStateMachine(0), NewStateMachine(0)
		for i, r := range records {
			full.Apply(int64(i), r)
			resumed.Apply(int64(i), r)
			if i == int(cut) && resumed.Anchored() && !resumed.Blocked() {
				resumed = NewStateMachineFrom(resumed.State())
			}
		}
		assert.Equal(t, stateText(t, resumed.State()), stateText(t, full.State()))
	})
}
