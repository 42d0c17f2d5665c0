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

// BenchmarkChangeAndList measures an entry that changes among 730, and the next reading of their list.
func BenchmarkChangeAndList(b *testing.B) {
	const runners = 730
	d := NewDirectory("a")
	for i := 0; b.Loop(); i++ {
		d.Put(Runner{ID: fmt.Sprintf("r%d", i%runners), Service: "s", Stage: Decode, Address: fmt.Sprint(i)}, time.Now())
		_ = d.Stage("s", Decode)
	}
}
