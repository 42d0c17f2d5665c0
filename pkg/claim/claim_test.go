package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/spectest"
)

// claimMachine models several processes that claim a few keys in a key-value
// service with outages and lost responses.
type claimMachine struct {
	kv     *fake.KV
	stores []*Store
	// holder maps each key to the request that a response named as its holder.
	// unsettledIDs contains the requests whose claim has an unknown outcome.
	holder       map[Key]string
	unsettledIDs map[Key]map[string]bool
	next         int
}

func (m *claimMachine) key(t *rapid.T) Key {
	return NewKey("w", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")))
}

func (m *claimMachine) store(t *rapid.T) *Store {
	return m.stores[rapid.IntRange(0, len(m.stores)-1).Draw(t, "store")]
}

func (m *claimMachine) claim(t *rapid.T) {
	k, s := m.key(t), m.store(t)
	m.next++
	id := fmt.Sprintf("r%d", m.next)
	got, err := s.Claim(context.Background(), k, id)
	if err != nil {
		m.recordUnsettled(k, id)
		return
	}
	m.checkHolder(t, k, id, got)
}

func (m *claimMachine) recordUnsettled(k Key, id string) {
	if m.unsettledIDs[k] == nil {
		m.unsettledIDs[k] = map[string]bool{}
	}
	m.unsettledIDs[k][id] = true
}

// checkHolder checks the holder that a claim returned. Once a response has named
// the holder of a key, the holder must not change. Before that, the holder must be the
// request itself or one whose claim has an unknown outcome.
func (m *claimMachine) checkHolder(t *rapid.T, k Key, id, got string) {
	if have := m.holder[k]; have != "" {
		if got != have {
			t.Fatalf("%s holds the key, but the claim of %s returned holder %s", have, id, got)
		}
		return
	}
	if got != id && !m.unsettledIDs[k][got] {
		t.Fatalf("the claim of %s returned holder %s, which never claimed the key", id, got)
	}
	m.holder[k] = got
}

func (m *claimMachine) release(t *rapid.T) {
	k, s := m.key(t), m.store(t)
	id := m.holder[k]
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	m.kv.SetDown(false)
	if err := s.Release(ctx, k, id); err != nil {
		t.Fatalf("release: %v", err)
	}
	m.holder[k] = ""
	m.unsettledIDs[k] = nil
}

// race claims one key from all stores concurrently.
func (m *claimMachine) race(t *rapid.T) {
	k := m.key(t)
	var wg sync.WaitGroup
	got, ids, errs := make([]string, len(m.stores)), make([]string, len(m.stores)), make([]error, len(m.stores))
	for i, s := range m.stores {
		m.next++
		ids[i] = fmt.Sprintf("r%d", m.next)
		wg.Go(func() { got[i], errs[i] = s.Claim(context.Background(), k, ids[i]) })
	}
	wg.Wait()
	for i := range got {
		if errs[i] != nil {
			m.recordUnsettled(k, ids[i])
		}
	}
	for i := range got {
		if errs[i] == nil && got[i] == ids[i] {
			m.checkHolder(t, k, ids[i], got[i])
		}
	}
	for i := range got {
		if errs[i] == nil {
			m.checkHolder(t, k, ids[i], got[i])
		}
	}
}

func TestKeyHasAtMostOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spectest.Check(t, func(t *rapid.T) {
			m := &claimMachine{kv: fake.NewKV(), holder: map[Key]string{}, unsettledIDs: map[Key]map[string]bool{}}
			for range 3 {
				m.stores = append(m.stores, NewStore(m.kv))
			}
			t.Repeat(map[string]func(*rapid.T){
				"claim": m.claim, "release": m.release, "race": m.race,
				"outage":  func(t *rapid.T) { m.kv.SetDown(rapid.Bool().Draw(t, "down")) },
				"lose":    func(t *rapid.T) { m.kv.LoseAnswers(rapid.IntRange(1, 3).Draw(t, "n")) },
				"restart": func(t *rapid.T) { m.stores[rapid.IntRange(0, 2).Draw(t, "i")] = NewStore(m.kv) },
			})
			time.Sleep(time.Minute) // Until all shards are idle.
		})
	})
}

func TestClaimsAreGroupedAndKeptAfterSealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := fake.NewKV()
		first := NewStore(kv)
		const n = 20000
		var wg sync.WaitGroup
		for i := range n {
			time.Sleep(500 * time.Microsecond)
			wg.Go(func() {
				id := fmt.Sprint(i)
				holder, err := first.Claim(context.Background(), NewKey("w", id), id)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(holder).To(Equal(id))
			})
		}
		wg.Wait()
		_, writes := kv.Calls()
		g.Expect(writes).To(BeNumerically("<", 600), "10 s at 40 writes per second, plus the sealed blocks")
		second := NewStore(kv)
		for i := 0; i < n; i += 997 {
			holder, err := second.Claim(context.Background(), NewKey("w", fmt.Sprint(i)), "other")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(holder).To(Equal(fmt.Sprint(i)))
		}
		time.Sleep(time.Minute) // Until all shards are idle.
	})
}
