package ingress

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against IDs that are read in another way than clients and runners read them.
func TestFieldsOfEvents(t *testing.T) {
	for _, c := range []struct {
		event string
		want  eventFields
	}{
		{"id: 7\ndata: x\n\n", eventFields{id: "7", numbered: true, data: true}},
		{"id:7\r\ndata:x\r\n\r\n", eventFields{id: "7", numbered: true, data: true}},
		{"id:   7  \rdata\r\r", eventFields{id: "7", numbered: true, data: true}},
		{"x-weight-versions: 3\nid: 7\ndata: x\n\n", eventFields{id: "7", numbered: true, data: true}},
		{"id: 7\nid: 8\ndata: x\n\n", eventFields{id: "8", numbered: true, data: true}},
		{"id: 7\nid: 8\x00\ndata: x\n\n", eventFields{id: "7", numbered: true, data: true}},
		{"id\ndata: x\n\n", eventFields{numbered: true, data: true}},
		{"id:\n\n", eventFields{numbered: true}},
		{"ID: 7\nidx: 8\n id: 9\ndata: id: 10\n\n", eventFields{data: true}},
		{": id: 7\nretry: 100\n\n", eventFields{}},
		{"\ufeffid: 7\n\n", eventFields{id: "7", numbered: true}},
		{"\n", eventFields{}},
	} {
		t.Run(fmt.Sprintf("%q", c.event), func(t *testing.T) {
			NewWithT(t).Expect(parseEvent([]byte(c.event))).To(Equal(c.want))
		})
	}
}

// Guards against events that are dropped although their ID can't be compared with that of the last one.
func TestOrderOfEventIDs(t *testing.T) {
	for _, c := range []struct {
		id, last string
		want     bool
	}{
		{"1", "2", true}, {"2", "2", true}, {"3", "2", false}, {"10", "9", false}, {"9", "10", true},
		{"009", "9", true}, {"010", "9", false}, {"0", "000", true}, {"1", "000", false},
		{strings.Repeat("9", 100), "1" + strings.Repeat("0", 100), true}, {"1" + strings.Repeat("0", 100), strings.Repeat("9", 100), false},
		{"e9", "e10", true}, {"e10", "e9", false}, {"e1", "f2", false}, {"1", "+2", false}, {"-1", "2", false},
		{"1", "none", false}, {"none", "none", true}, {"a", "b", false}, {"12.6", "12.50", false}, {"12.50", "12.50", true}, {"", "1", false},
	} {
		t.Run(c.id+" after "+c.last, func(t *testing.T) {
			NewWithT(t).Expect(atOrBefore(c.id, c.last)).To(Equal(c.want))
		})
	}
}
