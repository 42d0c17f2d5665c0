package process

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/store"
)

// Guards against an engine that gets no work because another writer wrote a stage change that names no stage.
func TestStageChangeWithoutAStageIsIgnored(t *testing.T) {
	for _, value := range []string{"", "resting", "\xff", strings.Repeat("decode", 1000), `"prefill"`} {
		g := NewWithT(t)
		f := newFixture(t, 10, entry("i-1", "decode", 5))
		f.apply(put(store.Item{Key: changePrefix + "i-1", Value: []byte(value), Revision: 11}), 11)
		_, changing := f.ingress.Directory.Find("i-1").Changing(time.Now())
		g.Expect(changing).To(BeFalse(), "%.20q", value)
	}
	f := newFixture(t, 10, entry("i-1", "decode", 5))
	f.apply(put(store.Item{Key: changePrefix + "i-1", Value: []byte("prefill"), Revision: 11}), 11)
	_, changing := f.ingress.Directory.Find("i-1").Changing(time.Now())
	NewWithT(t).Expect(changing).To(BeTrue())
}
