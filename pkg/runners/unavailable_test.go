package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/notice"
)

// Guards against a service that counts as unavailable while one of its runners is usable, and
// against an After that is not the end of the earliest pause.
func TestServiceIsUnavailableOnlyWhenAllRunnersLeaveOrPause(t *testing.T) {
	g := NewWithT(t)
	d, now := NewDirectory("a"), time.Now()
	for _, id := range []string{"a", "b", "c"} {
		d.Put(Runner{ID: id, Service: "s", Domain: id}, now)
	}
	g.Expect(d.Unavailable("s", "", nil, now)).To(Succeed())
	d.Find("a").Observe(notice.Notice{Refused: true, RetryAfter: 3 * time.Second}, now)
	d.Find("b").Observe(notice.Notice{Refused: true, RetryAfter: time.Second}, now)
	g.Expect(d.Unavailable("s", "", nil, now)).To(Succeed())
	exceptC := func(s *State) bool { return s.Domain != "c" }
	g.Expect(d.Unavailable("s", "", exceptC, now)).To(MatchError(&ErrUnavailable{Service: "s", Paused: 2, After: time.Second}))
	d.Find("c").Observe(notice.Notice{Leaving: true}, now)
	g.Expect(d.Unavailable("s", "", nil, now)).To(MatchError(&ErrUnavailable{Service: "s", Paused: 2, Leaving: 1, After: time.Second}))
	g.Expect(d.Unavailable("s", "", nil, now.Add(time.Second))).To(Succeed())
	g.Expect(d.Unavailable("none", "", nil, now)).To(Succeed())
}

// Guards against a pause that outlasts its incarnation or is inherited by the next one.
func TestPauseEndsWithIncarnation(t *testing.T) {
	g := NewWithT(t)
	d, now := NewDirectory("a"), time.Now()
	d.Put(Runner{ID: "r@1", Name: "r", Service: "s"}, now)
	d.Find("r@1").Observe(notice.Notice{Refused: true, RetryAfter: time.Minute}, now)
	g.Expect(d.Usable("s", "", now)).To(BeEmpty())
	g.Expect(d.Present("s", now)).To(HaveLen(1), "a paused runner stays registered")
	later := now.Add(6 * time.Second)
	d.Put(Runner{ID: "r@2", Name: "r", Service: "s", Born: now.Add(5 * time.Second).UnixMilli()}, later)
	g.Expect(ids(d.Usable("s", "", later))).To(Equal([]string{"r@2"}))
}
