package process

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
)

// Guards against batches of origins that take the store's calls or the links of many gateways.
func TestBatchesOfAllGatewaysStayWithinTheirRates(t *testing.T) {
	const writes, origins = 40, batchedPerSecond
	g := NewWithT(t)
	for _, gateways := range []int{1, 4, 5, 25, 103, 356, 420} {
		interval, most := batchPace(gateways)
		g.Expect(float64(gateways)/interval.Seconds()).To(BeNumerically("<=", writes), "%d gateways", gateways)
		g.Expect(float64(gateways*most)/interval.Seconds()).To(BeNumerically("<=", origins), "%d gateways", gateways)
	}
}

// Guards against origins that are written out of order, and against a queue without a bound.
func TestPendingOriginsAreTakenInOrder(t *testing.T) {
	g := NewWithT(t)
	var b originBatches
	for k := range resume.Key(maxPending + 10) {
		b.add([]resume.Origin{{Key: k}})
	}
	first := b.take(3)
	g.Expect(first).To(Equal([]resume.Origin{{Key: 10}, {Key: 11}, {Key: 12}}))
	g.Expect(b.take(maxPending)).To(HaveLen(maxPending - 3))
	g.Expect(b.take(1)).To(BeEmpty())
}
