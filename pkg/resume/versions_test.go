package resume

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against taking the version that serves after a start for the only one that has served, and against refusing
// streams before the first record is created.
func TestOnlyVersionIsThatOfTheRecordToo(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), time.Now()
	v.Observe("s", "v2", now)
	g.Expect(v.Only("s", now)).To(Equal("v2"), "no record yet")
	g.Expect(v.ReadRecord("s", Record{Versions: []string{"v1"}}, now)).To(BeTrue(), "a second version is possible")
	g.Expect(v.Only("s", now)).To(BeEmpty(), "another version recorded")
	g.Expect(v.Mixed("s", now)).To(BeTrue())
	v.ReadRecord("s", Record{Versions: []string{"v2"}}, now)
	g.Expect(v.Only("s", now)).To(Equal("v2"))
	g.Expect(v.Mixed("s", now)).To(BeFalse())
}

// Guards against a version that is dropped from the record while streams may have it, or never.
func TestRecordKeepsVersionAsLongAsStreamsHaveIt(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), time.Now()
	v.ObserveLifetime("s", 16*time.Second)
	v.Observe("s", "v1", now)
	g.Expect(v.Wanted("s", now)).To(Equal(Record{Versions: []string{"v1"}, Lifetime: 30 * time.Second}))
	v.ReadRecord("s", v.Wanted("s", now), now)
	v.Observe("s", "v2", now)
	g.Expect(v.Wanted("s", now).Versions).To(Equal([]string{"v1", "v2"}))
	v.ReadRecord("s", v.Wanted("s", now), now)

	later := now.Add(30*time.Second + leaveTime)
	v.Observe("s", "v2", later)
	g.Expect(v.Wanted("s", later).Versions).To(Equal([]string{"v1", "v2"}), "streams of v1 may still run")
	later = later.Add(dropDelay + time.Second)
	v.Observe("s", "v2", later)
	g.Expect(v.Wanted("s", later).Versions).To(Equal([]string{"v2"}))
	g.Expect(v.Only("s", later)).To(BeEmpty(), "the store still lists v1")
	v.ReadRecord("s", v.Wanted("s", later), later)
	g.Expect(v.Only("s", later)).To(Equal("v2"))
}

// Guards against a restarted gateway that drops the versions of streams which began before its start.
func TestRestartedGatewayKeepsRecordedVersions(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), time.Now()
	v.ReadRecord("s", Record{Versions: []string{"v1", "v2"}, Lifetime: time.Minute}, now)
	for after := time.Duration(0); after <= time.Minute+leaveTime; after += 5 * time.Second {
		v.Observe("s", "v2", now.Add(after))
		g.Expect(v.Wanted("s", now.Add(after))).To(Equal(Record{Versions: []string{"v1", "v2"}, Lifetime: time.Minute}), "after %s", after)
	}
}

// Guards against records that can't be read back, and against foreign values taken for records.
func TestRecordIsReadBackAndForeignValuesAreRejected(t *testing.T) {
	g := NewWithT(t)
	r := Record{Versions: []string{"v1", "v1.1"}, Lifetime: 30 * time.Second}
	value, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ParseRecord(value)).To(Equal(r))
	for _, text := range []string{"", "v1", "{}", "[]", `{"versions":[]}`, `{"versions":["v1"]}`, `{"versions":[1],"lifetime_ms":15000}`, `{"versions":["v1"],"lifetime_ms":900000}`} {
		_, err := ParseRecord([]byte(text))
		var invalid *ErrRecord
		g.Expect(err).To(BeAssignableToTypeOf(invalid), "%q", text)
	}
}

// Guards against a stream that begins at a version before the record lists it, and against a version that gets no
// streams because the store takes no writes.
func TestNewStreamsWaitForTheRecord(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), time.Now()
	v.Observe("s", "v1", now)
	g.Expect(v.MayBegin("s", "v1", now)).To(BeTrue(), "no record yet")
	v.ReadRecord("s", Record{Versions: []string{"v1"}}, now)
	g.Expect(v.MayBegin("s", "v2", now)).To(BeFalse(), "not observed yet")
	v.Observe("s", "v2", now)
	g.Expect(v.MayBegin("s", "v1", now)).To(BeTrue())
	g.Expect(v.MayBegin("s", "v2", now)).To(BeFalse())
	g.Expect(v.MayBegin("s", "v2", now.Add(recordWait+1))).To(BeTrue(), "it can't be recorded, and serves alone")
	v.Observe("s", "v1", now.Add(1))
	g.Expect(v.MayBegin("s", "v2", now.Add(recordWait+1))).To(BeFalse(), "a recorded version served meanwhile")
	g.Expect(v.MayBegin("s", "v2", now.Add(recordWait+2))).To(BeTrue(), "it has left since")
	v.ReadRecord("s", Record{Versions: []string{"v1", "v2"}}, now)
	g.Expect(v.MayBegin("s", "v2", now)).To(BeTrue())
}

// Guards against refusing streams that began while there was one version, and against guessing that of others.
func TestUnannouncedStreamsBeganAtTheOnlyRecordedVersion(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), time.Now()
	v.Observe("s", "v2", now)
	g.Expect(v.Unannounced("s", now)).To(BeEmpty(), "no record yet")
	v.ReadRecord("s", Record{Versions: []string{"v1"}}, now)
	g.Expect(v.Unannounced("s", now)).To(Equal("v1"))
	v.ReadRecord("s", Record{Versions: []string{"v1", "v2"}}, now)
	g.Expect(v.Unannounced("s", now)).To(Equal("v1"), "streams of before still run")
	g.Expect(v.Unannounced("s", now.Add(minLifetime))).To(BeEmpty())
	v.ReadRecord("s", Record{Versions: []string{"v2"}}, now.Add(minLifetime))
	g.Expect(v.Unannounced("s", now.Add(minLifetime))).To(Equal("v2"))
	v.DoubtRecords(now.Add(minLifetime))
	g.Expect(v.Unannounced("s", now.Add(minLifetime))).To(BeEmpty(), "the store was restored")

	started := NewVersions()
	started.ReadRecord("s", Record{Versions: []string{"v1", "v2"}}, now)
	g.Expect(started.Unannounced("s", now)).To(BeEmpty(), "several since before the start")
}
