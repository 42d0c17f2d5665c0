package experiment

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	full             = flag.Bool("full", false, "run the whole comparison")
	sceneFilter      = flag.String("scene", "", "only scenes whose name contains this")
	settingFilter    = flag.String("setting", "", "only settings whose name contains this")
	deploymentFilter = flag.String("site", "", "only deployments whose name contains this")
	seed             = flag.Uint64("seed", 11, "seed of the load")
	length           = flag.Duration("length", 40*time.Second, "length of the load")
)

// TestCompare prints the tables of the comparison, whose figures go into docs/POLICY.md.
// It asserts nothing about them. Without -full it only checks briefly that the experiment
// runs.
func TestCompare(t *testing.T) {
	var mu sync.Mutex
	tables := map[string][]Row{}
	t.Run("runs", func(t *testing.T) {
		for _, d := range []Deployment{Bangkok(), VitiWest()} {
			if !strings.Contains(d.Name, *deploymentFilter) {
				continue
			}
			compare(t, d, func(rows []Row) {
				mu.Lock()
				defer mu.Unlock()
				tables[d.Name] = rows
			})
		}
	})
	for _, d := range []Deployment{Bangkok(), VitiWest()} {
		WriteTable(os.Stdout, d, tables[d.Name])
		c := d.meanCost()
		t.Logf("%s: capacity %.1f/s, prefill use %.2f, decode use %.2f", d.Name, d.Capacity(), d.Capacity()*c.prefill/float64(d.Prefills), d.Capacity()*c.decode/float64(d.Decodes))
		for _, r := range tables[d.Name] {
			t.Logf("%s %s: cached %.2f busy %.2f refused %v", r.Scene, r.Setting, r.Outcome.Cached, r.Outcome.Busy, r.Outcome.Reasons)
		}
	}
}

// compare runs all settings in all scenes of a deployment.
func compare(t *testing.T, d Deployment, done func([]Row)) {
	scenes, settings, long := Scenes(d), Settings(), *length
	if !*full {
		scenes, settings, long = scenes[:1], settings[len(settings)-1:], 2*time.Second
	}
	var rows []Row
	for _, scene := range scenes {
		for _, set := range settings {
			if strings.Contains(scene.Name, *sceneFilter) && strings.Contains(set.Name, *settingFilter) {
				rows = append(rows, Row{Scene: scene.Name, Setting: set.Name})
			}
		}
	}
	byName := map[string]Scene{}
	for _, s := range scenes {
		byName[s.Name] = s
	}
	t.Run(d.Name, func(t *testing.T) {
		for i := range rows {
			t.Run(rows[i].Scene+"/"+rows[i].Setting, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					rows[i].Outcome = Do(d, find(settings, rows[i].Setting), byName[rows[i].Scene], *seed, long)
				})
			})
		}
	})
	done(rows)
}

func find(all []Setting, name string) Setting {
	for _, s := range all {
		if s.Name == name {
			return s
		}
	}
	return Setting{}
}
