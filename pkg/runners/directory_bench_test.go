package runners

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPut measures one entry's cost while 3,000 runners register.
func BenchmarkPut(b *testing.B) {
	d := NewDirectory("a")
	for i := 0; b.Loop(); i++ {
		d.Put(Runner{ID: fmt.Sprintf("r%d", i%3000), Service: "s", Stage: Decode, Address: fmt.Sprint(i)}, time.Now())
	}
}
