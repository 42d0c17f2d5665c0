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
		table.Begin(Origin{k, version, time.Minute}, "s", "r-"+version, now)
		table.Receive("b", Origin{k + 1, version, time.Minute}, now)
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
	table.Receive("b", Origin{k, "v1", time.Minute}, now)
	table.Receive("c", Origin{k, "v1", time.Minute}, now)
	o, _ := table.Find(k, now)
	g.Expect(o.Version).To(Equal("v1"))
	table.Receive("c", Origin{k, "v2", time.Minute}, now)
	table.Receive("b", Origin{k, "v1", time.Minute}, now)
	o, ok := table.Find(k, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(o.Version).To(BeEmpty())
}

// Guards against streams recorded at the version of an engine's outdated entry.
func TestDoubtMakesOriginsOfRunnerUncertain(t *testing.T) {
	g := NewWithT(t)
	now, table := time.Now(), NewTable("a")
	table.Begin(Origin{1, "v1", time.Minute}, "s", "r1", now)
	table.Begin(Origin{2, "v1", time.Minute}, "s", "r2", now)
	g.Expect(table.Doubt("r1", now)).To(Equal([]Origin{{Key: 1, Left: time.Minute}}))
	o, _ := table.Find(1, now)
	g.Expect(o.Version).To(BeEmpty())
	g.Expect(table.Own("s", now)).To(ConsistOf(Origin{1, "", time.Minute}, Origin{2, "v1", time.Minute}))
}

// Guards against memory that grows with IDs that clients invent.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	now, table := time.Now(), NewTable("a")
	for i := range 2 * shardCount * maxPerShard {
		table.Receive("b", Origin{KeyOf("s", "w", fmt.Sprint(i)), "v1", time.Hour}, now)
	}
	n, dropped := table.Size()
	g.Expect(n).To(BeNumerically("<=", shardCount*maxPerShard))
	g.Expect(uint64(n) + dropped).To(BeNumerically("==", 2*shardCount*maxPerShard))
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
	g.Expect(v.Only("s", now)).To(Equal("v1"))
	v.ObserveLifetime("s", time.Minute)
	g.Expect(v.Observe("s", "v2", now.Add(59*time.Second))).To(BeTrue(), "a second version came")
	g.Expect(v.Mixed("s", now.Add(59*time.Second))).To(BeTrue())
	g.Expect(v.Observe("s", "v2", now.Add(2*time.Minute))).To(BeFalse())
	g.Expect(v.Only("s", now.Add(2*time.Minute))).To(Equal("v2"))
	v.MarkMixed("s", now.Add(3*time.Minute))
	g.Expect(v.Only("s", now.Add(2*time.Minute))).To(BeEmpty(), "the store shows several")
	g.Expect(v.Mixed("s", now.Add(3*time.Minute))).To(BeFalse())
}
