package process

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/routetable"
)

// Guards against clients inside the operators' limits that lose their connections because the settings have others.
func TestOperatorsTimesForClientsGoBeforeTheSettings(t *testing.T) {
	g := NewWithT(t)
	p := &Ingress{Ingress: ingress.New(ingress.Options{})}
	p.settings.Store(&config.Ingress{Limits: config.IngressLimits{HeaderTime: fleet.Duration(10 * time.Second), IdleTime: fleet.Duration(60 * time.Second)}})
	head, idle := p.clientTimes()
	g.Expect([]time.Duration{head, idle}).To(Equal([]time.Duration{10 * time.Second, 60 * time.Second}), "no configuration yet")
	table, err := routetable.New(routetable.Config{Version: 1, Limits: routetable.Limits{HeaderTime: 30 * time.Second, IdleTime: 120 * time.Second}})
	g.Expect(err).NotTo(HaveOccurred())
	p.Ingress.SetTable(table)
	head, idle = p.clientTimes()
	g.Expect(head).To(BeNumerically(">", 30*time.Second))
	g.Expect(idle).To(BeNumerically(">", 120*time.Second))
}
