package process

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform/standin"
)

// oddDepth is the depth of nested values that fit into an item.
const oddDepth = 3000

// Guards against any value under any key that ends the process, or keeps sound entries from being applied: by changes,
// by a full read and by another gateway's copy.
func TestOddItemsUnderAnyKeyLeaveSoundOnesInForce(t *testing.T) {
	for name, value := range standin.OddValues(oddDepth) {
		var items []store.Item
		for _, key := range standin.OddKeys("i-2") {
			items = append(items, store.Item{Key: key, Value: []byte(value), Revision: store.Revision(11 + len(items))})
		}
		last := store.Revision(11 + len(items))
		sound := []store.Item{entry("i-1", "decode", 5), entry("zz", "prefill", last)}
		changes, read, copied := newFixture(t, 10, sound[0]), newFixture(t, last, append(items, sound...)...), newFixture(t, 10)
		for _, i := range items {
			changes.apply(put(i), i.Revision)
		}
		changes.apply(put(sound[1]), last)
		copied.loadPeerState(sharedState{At: last, Items: append(items, sound...)})
		for way, f := range map[string]*fixture{"changes": changes, "full read": read, "another gateway's copy": copied} {
			g := NewWithT(t)
			g.Expect(f.stage("i-1")).To(BeEquivalentTo("decode"), "%s: %s", way, name)
			g.Expect(f.stage("zz")).To(BeEquivalentTo("prefill"), "%s: %s", way, name)
			g.Expect(f.Reached()).To(Equal(last))
		}
	}
}

// FuzzApplyItem applies any item by a change and by a full read.
func FuzzApplyItem(f *testing.F) {
	for _, key := range standin.OddKeys("i-2") {
		f.Add(key, []byte("decode"))
	}
	for _, value := range standin.OddValues(oddDepth) {
		f.Add(standin.RunnerKey("i-2"), []byte(value))
		f.Add(recordPrefix+"llm", []byte(value))
		f.Add(batchPrefix+"g/1-1", []byte(value))
		f.Add(partsPrefix+"1", []byte(value))
		f.Add("op/config", []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		odd := store.Item{Key: key, Value: value, Revision: 11}
		x := newFixture(t, 10, entry("i-1", "decode", 5))
		x.apply(put(odd), 11)
		y := newFixture(t, 11, entry("i-1", "decode", 5), odd)
		if key == standin.RunnerKey("i-1") {
			return
		}
		for _, f := range []*fixture{x, y} {
			if f.Reached() != 11 || f.stage("i-1") != "decode" || f.ingress.Directory.Find("i-1").Gone() {
				t.Fatalf("sound entry is not in force: reached %s", f.Reached())
			}
		}
	})
}

// FuzzDecodeState decodes any state of another gateway and applies it.
func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"at":7,"age_ms":5,"items":[{"Key":"servers/i-1","Value":"e30=","Revision":5}],"leaving":["i-1"],"assured_us":4}`))
	for _, value := range standin.OddValues(oddDepth) {
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"at":18446744073709551615,"items":[{"Key":",,,,","Revision":18446744073709551615}],"config":{"Key":"op/config"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s sharedState
		if decodeState(strings.NewReader(string(text)), testStateBytes, &s) == nil {
			newFixture(t, 10).loadPeerState(s)
		}
	})
}
