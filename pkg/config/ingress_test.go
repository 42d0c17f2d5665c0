package config_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/platform"
)

// filledTemplate returns the deployment template, filled in with the platform's example values.
func filledTemplate(t *testing.T) string {
	data, err := os.ReadFile("../../deploy/ingress.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := platform.FillExample(string(data))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestDeployTemplateParses(t *testing.T) {
	g := NewWithT(t)
	text := filledTemplate(t)
	g.Expect(text).NotTo(ContainSubstring("{{"))
	c, err := config.ParseIngress("deploy/ingress.yaml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Instance.Domain).To(Equal("bkk-bangna"))
	g.Expect(c.RetryBudget.Slack).To(Equal(58.0))
	g.Expect(c.Listen.Peers).To(Equal("10.1.0.38:7395"))
}

// The platform leaves the fields for keys and quotas empty if a deployment has none. The template
// must still parse, and the defaults must apply.
func TestDeployTemplateParsesWithoutWorkspaces(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../deploy/ingress.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	fields := platform.ExampleFields()
	for _, name := range []string{"failClosed", "revokeMs", "quotaWindowS", "quotaOvershoot", "quotaSlack"} {
		delete(fields, "bounds."+name)
	}
	text, err := platform.Fill(string(data), fields)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := config.ParseIngress("deploy/ingress.yaml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Workspaces.FailClosed).To(BeFalse())
	g.Expect(c.Workspaces.Quota.Window.D()).To(Equal(8*time.Second), "the default")
}

func TestDeployTemplateSetsWorkspaces(t *testing.T) {
	g := NewWithT(t)
	c, err := config.ParseIngress("deploy/ingress.yaml", []byte(filledTemplate(t)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Workspaces.FailClosed).To(BeTrue())
	g.Expect(c.Workspaces.RevokeWithin.D()).To(Equal(5 * time.Second))
	g.Expect(c.Workspaces.Quota.Slack).To(Equal(140000.0))
	g.Expect(c.Workspaces.Quota.Overshoot).To(Equal(0.1))
}

func TestIngressDefaultsAreValid(t *testing.T) {
	g := NewWithT(t)
	_, err := config.ParseIngress("default", []byte(config.IngressDefault))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestInvalidIngressSettingsReportFieldAndLine(t *testing.T) {
	for _, c := range []struct {
		from, to, field string
		line            int
	}{
		{"store: 10.200.1.7:8142", "store: nowhere", "store", 7},
		{"seeds: [10.1.0.38:8144", "seeds: [nowhere", "seeds[0]", 8},
		{"  slack: 58", "  slack: -1", "retry_budget.slack", 16},
		{"  share: 0.2", "  share: 1.5", "retry_budget.share", 15},
		{"  window: 10s", "  window: 10", "window", 17},
		{"lease: 3000ms", "lease: 1ms", "lease", 18},
		{"  memory_mb: 134", "  memory_mb: 0", "limits.memory_mb", 20},
		{"  peers: 10.1.0.38:7395", "  peers: 10.1.0.38:99999", "listen.peers", 13},
		{"lease: 3000ms", "leese: 3000ms", "leese", 18},
		{"revoke_within: 5000ms", "revoke_within: 1s", "workspaces.revoke_within", 25},
		{"    slack: 140000", "    slack: -1", "workspaces.quota.slack", 29},
		{"overshoot: 0.1", "overshoot: 2", "workspaces.quota.overshoot", 28},
	} {
		g := NewWithT(t)
		text := strings.Replace(filledTemplate(t), c.from, c.to, 1)
		g.Expect(text).To(ContainSubstring(c.to))
		_, err := config.ParseIngress("f.yaml", []byte(text))
		g.Expect(err).To(BeAssignableToTypeOf(&config.ErrSettings{}), c.to)
		g.Expect(err.(*config.ErrSettings).Field).To(Equal(c.field))
		g.Expect(err.(*config.ErrSettings).Line).To(Equal(c.line), c.to)
	}
}
