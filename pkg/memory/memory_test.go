package memory

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// Guards against an account that admits more although its bound was lowered below what is in use.
func TestAccountInUseAdmitsNothingUntilItHasRoom(t *testing.T) {
	g := NewWithT(t)
	a := NewAccountInUse("a", 100, 120)
	var full *ErrFull
	g.Expect(errors.As(a.Reserve(1), &full)).To(BeTrue())
	g.Expect(full.Used).To(BeEquivalentTo(120))
	a.Release(30)
	g.Expect(a.Reserve(10)).To(Succeed())
	g.Expect(a.Reserve(1)).NotTo(Succeed())
	g.Expect(a.Used()).To(BeEquivalentTo(100))
}

// Guards against an account that is above its bound, be it for an instant.
func TestAccountStaysWithinItsBound(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount("a", 1000)
	var users sync.WaitGroup
	stop := make(chan struct{})
	exceeded := make(chan int64, 1)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if used := a.Used(); used > a.Bound() || used < 0 {
				select {
				case exceeded <- used:
				default:
				}
			}
		}
	}()
	for n := range 8 {
		users.Go(func() {
			for range 5000 {
				h := Usage{Account: a}
				if err := h.Resize(int64(100 * (n + 1))); err == nil {
					_ = h.Grow(300)
				}
				h.Release()
			}
		})
	}
	users.Wait()
	close(stop)
	g.Expect(exceeded).NotTo(Receive())
	g.Expect(a.Used()).To(BeZero())
}

// The reservations of all holds are the use of their account, whatever is reserved, refused and released.
func TestUsagesAddUpToTheirAccount(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		a := NewAccount("a", 100)
		usages := make([]Usage, 4)
		for i := range usages {
			usages[i].Account = a
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := &usages[rapid.IntRange(0, 3).Draw(t, "usage")]
			before, size := h.Size(), rapid.Int64Range(0, 120).Draw(t, "size")
			if rapid.Bool().Draw(t, "release") {
				h.Release()
			} else if err := h.Resize(size); err != nil {
				var full *ErrFull
				if !errors.As(err, &full) || full.Bound != 100 || h.Size() != before || full.Used+full.Size <= 100 {
					t.Fatalf("refused: %v, size %d", err, h.Size())
				}
			}
			sum := int64(0)
			for _, h := range usages {
				sum += h.Size()
			}
			if sum != a.Used() || sum > 100 {
				t.Fatalf("holds %d, account %d", sum, a.Used())
			}
		}
	})
}

// Guards against a full account in which all users that grow at the same time fail, not only half of them.
func TestNoMoreUsersFailThanHaveTo(t *testing.T) {
	const growing, size = 16, 512
	g := NewWithT(t)
	a := NewAccount("a", growing*size)
	held := make([]Usage, growing)
	for i := range held {
		held[i].Account = a
		g.Expect(held[i].Grow(size)).To(Succeed())
	}
	var users sync.WaitGroup
	var failed atomic.Int64
	for i := range held {
		users.Go(func() {
			var full *ErrFull
			if err := held[i].GrowOrRelease(size, size); errors.As(err, &full) && held[i].Size() == 0 {
				failed.Add(1)
			}
		})
	}
	users.Wait()
	g.Expect(failed.Load()).To(BeEquivalentTo(growing / 2))
	g.Expect(a.Used()).To(BeEquivalentTo(growing * size))
}

// A nil account has no bound.
func TestNilAccountAdmitsAll(t *testing.T) {
	g := NewWithT(t)
	var h Usage
	g.Expect(h.Resize(1 << 40)).To(Succeed())
	h.Release()
	g.Expect(h.Account.Used() + h.Account.Bound()).To(BeZero())
}

func TestReadReturnsAllUpToTheBound(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		size, bound := rapid.IntRange(0, 20000).Draw(t, "size"), rapid.Int64Range(1, 20000).Draw(t, "bound")
		text := bytes.Repeat([]byte("x"), size)
		var in io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(t, "slow") {
			in = iotest.HalfReader(in)
		}
		a := NewAccount("a", 1<<20)
		h := Usage{Account: a}
		data, err := Read(in, "text", bound, &h, 4096, 3)
		var large *ErrTooLarge
		switch {
		case int64(size) <= bound && (err != nil || !bytes.Equal(data, text)):
			t.Fatalf("%d of %d bytes: %v", len(data), size, err)
		case int64(size) > bound && (!errors.As(err, &large) || large.Bound != bound || large.Size != bound+1):
			t.Fatalf("no error above the bound: %v", err)
		case int64(len(data)) > bound || h.Size() > 3*(bound+1) || size > 8192 && bound > 8192 && h.Size() < 3*8192:
			t.Fatalf("%d bytes kept, %d reserved", len(data), h.Size())
		}
		h.Release()
		if a.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", a.Used())
		}
	})
}

// Guards against a text without an end, and one that does not fit into its account.
func TestReadStopsWithoutAnEnd(t *testing.T) {
	g := NewWithT(t)
	endless := readerFunc(func(p []byte) (int, error) { return len(p), nil })
	var large *ErrTooLarge
	_, err := Read(endless, "text", 1<<20, &Usage{}, 0, 1)
	g.Expect(errors.As(err, &large)).To(BeTrue())
	g.Expect(err).To(MatchError(`too large: what="text" size=1048577 bound=1048576`))
	h := Usage{Account: NewAccount("small", 50_000)}
	var full *ErrFull
	_, err = Read(endless, "text", 1<<20, &h, 0, 2)
	g.Expect(errors.As(err, &full)).To(BeTrue())
	g.Expect(full.Error()).To(HavePrefix(`no memory left for data of others: account="small"`))
	g.Expect(h.Size()).To(BeNumerically("<=", 50_000))
	_, err = io.ReadAll(Limit(iotest.ErrReader(io.ErrUnexpectedEOF), "text", 10))
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	data, err := io.ReadAll(Limit(strings.NewReader("0123456789"), "text", 10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("0123456789"))
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against copies of growing messages, which take memory until they are garbage collected.
func TestGrowingDataIsNotCopied(t *testing.T) {
	const size = 4 << 20
	g := NewWithT(t)
	reserved := int64(0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	data, whole, err := ReadUpTo(io.MultiReader(io.LimitReader(xs{}, size), iotest.ErrReader(io.ErrNoProgress)), 2*size, func(more, buffered int64) error {
		g.Expect(buffered).To(Equal(reserved))
		reserved += more
		return nil
	})
	runtime.ReadMemStats(&after)
	g.Expect(err).To(MatchError(io.ErrNoProgress))
	g.Expect(whole).To(BeFalse())
	g.Expect(data.Len()).To(BeEquivalentTo(size))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<=", reserved+reserved/8))
	g.Expect(data.Join()).To(HaveCap(int(reserved)))
}

// xs is an endless text.
type xs struct{}

func (xs) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against messages that are refused for the commas in the names that they hold.
func TestCommasInStringsAreNoValues(t *testing.T) {
	g := NewWithT(t)
	for text, refused := range map[string]bool{
		`[1,2,3]`: false, `[1,2,3,4]`: true, `{"a,,,,":1,"b\",,":"\\",` + "\n" + `"c":",,,,"}`: false, `["\\",",",1,2,"\",",3]`: true,
	} {
		var large *ErrTooLarge
		g.Expect(errors.As(CheckValues("list", []byte(text), 2), &large)).To(Equal(refused), text)
	}
}
