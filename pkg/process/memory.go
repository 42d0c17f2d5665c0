package process

import (
	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
)

// Fractions of the process's memory (limits.memory_mb) that what other processes send may take. Each kind
// has its own share; docs/design/memory.md has the table and the sum.
const (
	// memoryLimitFraction is the fraction above which the runtime collects garbage continuously.
	memoryLimitFraction = 0.6
	// heldMemoryFraction is for requests and responses that are held.
	heldMemoryFraction = 0.3
	// responseHeadFraction is for heads of runners' responses that are larger than usual.
	responseHeadFraction = 0.05
	// connectionFraction is for clients' connections with requests whose heads are of ordinary size, and
	// requestHeadFraction for arriving heads that are larger.
	connectionFraction  = 0.35
	requestHeadFraction = 0.05
	// windowFraction is for receive buffers of connections whose clients send large bodies.
	windowFraction = 0.05
	// storeFraction is for the copy of the store, and as much again for a full read that replaces it.
	// messageFraction is for one response of the store, or one copy of it from another gateway.
	storeFraction   = 0.1
	messageFraction = 0.06
)

const (
	// internalConnections bounds the connections to the health and metrics ports, peerConnections those
	// of other gateways. Only maxStateTransfers of these receive a copy of the store at a time.
	internalConnections = 32
	peerConnections     = 128
)

// memoryPlan holds the shares of an ingress process's memory, in bytes.
type memoryPlan struct {
	// runtimeLimit is the memory above which garbage is collected continuously.
	runtimeLimit int64
	// held is for requests and responses that are held.
	held *memory.Account
	// heads is for heads of runners' responses that are larger than usual.
	heads *memory.Account
	// connections is the largest number of clients' connections.
	connections int
	// requestHeads is for arriving heads of requests that are larger than usual, windows for receive buffers that
	// are.
	requestHeads, windows *memory.Account
	// storeItems is for the copy of the store, message for one response of the store or of another
	// gateway, in bytes.
	storeItems, message int64
}

// planMemory divides the memory of an ingress process.
func planMemory(l config.IngressLimits) memoryPlan {
	total := int64(l.MemoryMB) << 20
	share := func(fraction float64) int64 { return int64(fraction * float64(total)) }
	return memoryPlan{
		runtimeLimit: share(memoryLimitFraction), held: memory.NewAccount("requests and responses", share(heldMemoryFraction)),
		heads:        memory.NewAccount("heads of runners' responses", share(responseHeadFraction)),
		connections:  max(1, int(share(connectionFraction)/httpd.ConnectionCost)),
		requestHeads: memory.NewAccount("heads of requests", share(requestHeadFraction)),
		windows:      memory.NewAccount("receive buffers", share(windowFraction)),
		storeItems:   share(storeFraction), message: share(messageFraction),
	}
}
