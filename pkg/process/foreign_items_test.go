package process

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
	"github.com/hopwell/hopwell/platform/standin"
)

// junk returns items whose values are no JSON.
func junk(prefix string, count, size int, first store.Revision) (out []store.Item) {
	for n := range count {
		out = append(out, large(fmt.Sprintf("%sx-%05d", prefix, n), size, first+store.Revision(n)))
	}
	return out
}

// Guards against a gateway that starts without a configuration, or without the runners, because other writers' items
// that are listed before them have taken all room.
func TestSoundItemsHaveRoomAtTheStart(t *testing.T) {
	config := store.Item{Key: platform.ConfigKey, Value: bytes.Repeat([]byte(" "), 1<<19), Revision: 6}
	for name, odd := range map[string][]store.Item{
		"many before all others": junk(gatewayPrefix, 1200, 16000, 11), "many small": junk("servers/", 20_000, 900, 11),
		"giants": junk("servers/", 40, 1<<20, 11), "before all runners": junk("op/evacuate/", 1200, 16000, 11),
	} {
		g := NewWithT(t)
		f := newFixture(t, 0)
		items := append(append([]store.Item{config}, odd...), entry("zz", "decode", 5))
		trimmed := f.trimItems(items)
		total := int64(0)
		for _, i := range trimmed {
			total += cost(i)
		}
		g.Expect(total).To(BeNumerically("<=", defaultCopyBytes), name)
		for way, read := range map[string][]store.Item{"whole": items, "trimmed": trimmed} {
			f := newFixture(t, 40_000, read...)
			g.Expect(f.storeCopy.has(platform.ConfigKey)).To(BeTrue(), "%s, %s", name, way)
			g.Expect(f.stage("zz")).To(BeEquivalentTo("decode"), "%s, %s", name, way)
			g.Expect(f.storeCopy.size).To(BeNumerically("<=", defaultCopyBytes+maxConfigBytes), name)
		}
	}
}

// Guards against a running gateway that keeps a new configuration or a new runner out because other writers' items have
// taken all room.
func TestFullCopyTakesSoundChanges(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, store.Item{Key: platform.ConfigKey, Value: []byte("{}"), Revision: 6}, entry("i-1", "decode", 5))
	f.storeCopy.bound = 64 * (itemCost + 1024)
	f.apply(put(junk("servers/", 500, 900, 11)...), 510)
	full := f.storeCopy.size
	f.apply(put(store.Item{Key: platform.ConfigKey, Value: bytes.Repeat([]byte(" "), 1<<19), Revision: 511}), 511)
	have, _ := f.storeCopy.get(platform.ConfigKey)
	g.Expect(have.Revision).To(Equal(store.Revision(511)))
	f.apply(put(store.Item{Key: platform.ConfigKey, Value: []byte("{}"), Revision: 512}), 512)
	g.Expect(f.storeCopy.size).To(Equal(full))
	f.apply(put(entry("zz", "prefill", 513)), 513)
	g.Expect(f.stage("zz")).To(BeEquivalentTo("prefill"))
	total := int64(0)
	for _, i := range f.storeCopy.items {
		total += cost(i)
	}
	g.Expect(f.storeCopy.size).To(Equal(total))
	g.Expect(f.stage("i-1")).To(BeEquivalentTo("decode"))
	f.apply(put(junk("servers/", 500, 900, 600)...), 1100)
	g.Expect(f.storeCopy.size).To(BeNumerically("<=", f.storeCopy.bound))
	g.Expect(f.present("zz")).To(BeTrue())
}

// Guards against one log line for each reading of an item that is left out.
func TestItemLeftOutIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10)
	var out bytes.Buffer
	f.log = decisionlog.New("test", &out)
	giant, unreadable := large(standin.RunnerKey("giant"), 1<<20, 11), large(standin.RunnerKey("odd"), 100, 12)
	before := itemsLeftOut.Get()
	for range 3 {
		g.Expect(f.reset([]store.Item{giant, unreadable}, 12)).To(Succeed())
		g.Expect(f.refuseItem(giant)).NotTo(Succeed())
		g.Expect(f.refuseItem(unreadable)).NotTo(Succeed())
	}
	g.Expect(itemsLeftOut.Get() - before).To(BeEquivalentTo(2))
	f.apply([]store.Event{{Item: store.Item{Key: giant.Key, Revision: 13}, Removed: true}}, 13)
	giant.Revision = 14
	f.apply(put(giant), 14)
	g.Expect(itemsLeftOut.Get() - before).To(BeEquivalentTo(3))
	f.log.Close(time.Second)
	lines := out.String()
	g.Expect(bytes.Count([]byte(lines), []byte("key=servers/giant revision=11 bytes=1048589"))).To(Equal(1), lines)
	g.Expect(bytes.Count([]byte(lines), []byte("event=runner_refused key=servers/odd bytes=111"))).To(Equal(1), lines)
	g.Expect(bytes.Count([]byte(lines), []byte("event=store_item_left_out"))).To(Equal(2), lines)
}

// Guards against memory that the record of items left out takes, and against lines for each of very many.
func TestRecordOfItemsLeftOutIsBounded(t *testing.T) {
	g := NewWithT(t)
	var l leftOutItems
	for n := range 2 * maxLeftOut {
		l.first(fmt.Sprint(n), 1)
	}
	g.Expect(l.revisions).To(HaveLen(maxLeftOut))
	first, remembered := l.first("0", 1)
	g.Expect([]bool{first, remembered}).To(Equal([]bool{false, true}))
	first, remembered = l.first("0", 2)
	g.Expect([]bool{first, remembered}).To(Equal([]bool{true, true}))
	_, remembered = l.first("another", 1)
	g.Expect(remembered).To(BeFalse())
	now := time.Now()
	for second, want := range []int{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 10, 0} {
		g.Expect(l.countFurther(1, now.Add(time.Duration(second)*time.Second))).To(Equal(want), "second %d", second)
	}
	l.forget("1")
	_, remembered = l.first("another", 1)
	g.Expect(remembered).To(BeTrue())
}
