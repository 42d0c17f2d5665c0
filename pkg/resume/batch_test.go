package resume

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against origins that can't be read back, and against foreign values taken for batches.
func TestBatchIsReadBackAndForeignValuesAreRejected(t *testing.T) {
	g := NewWithT(t)
	list := []Origin{{Key: 1 << 63, Version: "v1", Left: 16 * time.Second}, {Key: 2, Version: "", Left: 15 * time.Second}}
	value, err := NewBatch(list).Encode()
	g.Expect(err).NotTo(HaveOccurred())
	b, err := ParseBatch(value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Origins()).To(ConsistOf(
		Origin{Key: 1 << 63, Version: "v1", Left: 16 * time.Second},
		Origin{Key: 2, Version: "", Left: 16 * time.Second}))
	many := NewBatch(nil)
	for k := range Key(maxBatch + 1) {
		many.Streams["v1"] = append(many.Streams["v1"], k)
	}
	value, err = many.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	for _, text := range []string{"", "[]", `{"streams":{"v1":["x"]}}`, `{"streams":{"v1":[-1]}}`, `{"lifetime_ms":-1}`, fmt.Sprintf(`{"lifetime_ms":%d}`, maxLifetime.Milliseconds()+1), string(value)} {
		_, err := ParseBatch([]byte(text))
		var invalid *ErrRecord
		g.Expect(err).To(BeAssignableToTypeOf(invalid), "%.40q", text)
	}
}
