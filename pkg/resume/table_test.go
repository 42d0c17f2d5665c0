package resume

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against the origin of an attempt that brought no event.
func TestLaterAttemptOfGatewayReplacesOrigin(t *testing.T) {
	g := NewWithT(t)
	now, table, k := time.Now(), NewTable("a"), KeyOf("s", "", "id")
	for _, version := range []string{"v1", "v2"} {
		table.Begin(Origin{Key: k, Version: version, Left: time.Minute}, "s", now)
		table.Receive("b", Origin{Key: k + 1, Version: version, Left: time.Minute}, now)
	}
	for _, key := range []Key{k, k + 1} {
		o, ok := table.Find(key, now)
		g.Expect(ok).To(BeTrue())
		g.Expect(o.Version).To(Equal("v2"))
	}
}

// Guards against a version that depends on which of two streams with the same ID was announced last.
func TestRepeatedIDAtTwoGatewaysIsUncertain(t *testing.T) {
	g := NewWithT(t)
	now, table, k := time.Now(), NewTable("a"), KeyOf("s", "", "id")
	table.Receive("b", Origin{Key: k, Version: "v1", Left: time.Minute}, now)
	table.Receive("c", Origin{Key: k, Version: "v1", Left: time.Minute}, now)
	o, _ := table.Find(k, now)
	g.Expect(o.Version).To(Equal("v1"))
	table.Receive("c", Origin{Key: k, Version: "v2", Left: time.Minute}, now)
	table.Receive("b", Origin{Key: k, Version: "v1", Left: time.Minute}, now)
	o, ok := table.Find(k, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(o.Version).To(BeEmpty())
}

// Guards against streams of other gateways recorded at the version of an engine's outdated entry, and against doubting
// those whose engine was confirmed.
func TestDoubtMakesAnnouncedOriginsOfRunnerUncertain(t *testing.T) {
	g := NewWithT(t)
	now, table := time.Now(), NewTable("a")
	origin := func(k Key, runner string) Origin {
		return Origin{Key: k, Version: "v1", Runner: RunnerDigest(runner), Left: time.Minute}
	}
	confirmed := origin(4, "r1")
	confirmed.Runner = 0
	table.Begin(origin(1, "r1"), "s", now)
	table.Begin(origin(2, "r1"), "s", now)
	table.Confirm(2)
	table.Receive("b", origin(3, "r1"), now)
	table.Receive("b", confirmed, now)
	table.Receive("b", origin(5, "r1"), now.Add(-confirmTime))
	table.Receive("b", origin(6, "r2"), now)
	g.Expect(table.Doubt(RunnerDigest("r1"), now)).To(Equal(1))
	for k, want := range map[Key]string{1: "v1", 2: "v1", 3: "", 4: "v1", 5: "v1", 6: "v1"} {
		o, _ := table.Find(k, now)
		g.Expect(o.Version).To(Equal(want), k.String())
	}
	own := origin(2, "r1")
	own.Runner = 0
	g.Expect(table.Own("s", now)).To(ConsistOf(origin(1, "r1"), own))
}

// Guards against a log that hides how many streams began at a runner after its unnoticed restart.
func TestStreamsBegunSinceARestartAreCounted(t *testing.T) {
	g := NewWithT(t)
	now, table := time.Now(), NewTable("a")
	o := Origin{Version: "v1", Runner: RunnerDigest("r1"), Left: time.Minute}
	for k, begun := range []time.Duration{-time.Second, 0, time.Second} {
		o.Key = Key(k)
		table.Begin(o, "s", now.Add(begun))
	}
	o.Key, o.Runner = 4, RunnerDigest("r2")
	table.Begin(o, "s", now)
	o.Key, o.Runner = 5, RunnerDigest("r1")
	table.Receive("b", o, now)
	g.Expect(table.BegunSince(RunnerDigest("r1"), now, now)).To(Equal(2))
}

// Guards against memory that grows with IDs that clients invent.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	now, table := time.Now(), NewTable("a")
	for i := range 2 * shardCount * maxPerShard {
		table.Receive("b", Origin{Key: KeyOf("s", "w", fmt.Sprint(i)), Version: "v1", Left: time.Hour}, now)
	}
	n, dropped := table.Size()
	g.Expect(n).To(BeNumerically("<=", shardCount*maxPerShard))
	g.Expect(uint64(n) + dropped).To(BeNumerically("==", 2*shardCount*maxPerShard))
	g.Expect(table.Complete(now.Add(maxLifetime))).To(BeFalse(), "a stream may have been dropped")
	g.Expect(table.Complete(now.Add(maxLifetime + 1))).To(BeTrue())
	g.Expect(NewTable("a").Complete(now)).To(BeTrue())
	table.Sweep(now.Add(maxLifetime))
	n, _ = table.Size()
	g.Expect(n).To(BeZero())
}

// Guards against a client that names a stream of another workspace or service.
func TestKeysOfWorkspacesAndServicesDiffer(t *testing.T) {
	g := NewWithT(t)
	seen := map[Key]bool{}
	for _, parts := range [][3]string{{"s", "w", "id"}, {"s", "", "wid"}, {"sw", "", "id"}, {"s", "wi", "d"}, {"", "s", "wid"}} {
		seen[KeyOf(parts[0], parts[1], parts[2])] = true
	}
	g.Expect(seen).To(HaveLen(5))
}

// Guards against a service that counts as having one version while streams of another may still be resumed.
func TestServiceIsMixedForAsLongAsStreamsLast(t *testing.T) {
	g := NewWithT(t)
	now, v := time.Now(), NewVersions()
	g.Expect(v.Only("s", now)).To(BeEmpty())
	g.Expect(v.Observe("s", "v1", now)).To(BeFalse())
	v.ReadRecord("s", Record{Versions: []string{"v1"}}, now)
	g.Expect(v.Only("s", now)).To(Equal("v1"))
	v.ObserveLifetime("s", time.Minute)
	g.Expect(v.Observe("s", "v2", now.Add(59*time.Second))).To(BeTrue(), "a second version came")
	g.Expect(v.Mixed("s", now.Add(59*time.Second))).To(BeTrue())
	g.Expect(v.Observe("s", "v2", now.Add(2*time.Minute))).To(BeFalse())
	v.ReadRecord("s", Record{Versions: []string{"v2"}}, now.Add(2*time.Minute))
	g.Expect(v.Only("s", now.Add(2*time.Minute))).To(Equal("v2"))
	marked := now.Add(2 * time.Minute)
	v.MarkMixed("s", marked)
	g.Expect(v.Only("s", marked.Add(maxLifetime-1))).To(BeEmpty(), "the store shows several")
	g.Expect(v.Mixed("s", marked.Add(maxLifetime))).To(BeFalse())
}
