package memory

// Plan divides the memory and the descriptors of an instance. The hop beside the
// callers and the hop beside the backend server have parts of their own: a call that
// holds one of them never waits for the same part on its other hop.
type Plan struct {
	CallerHeads    int64 // bytes for heads of callers' requests and of the answers of other nodes
	CallerBuffers  int64 // bytes for bodies, pipelined requests and their answers at the callers' hop
	InboundHeads   int64 // bytes for heads of other nodes' requests and of the backend server's answers
	InboundBuffers int64 // bytes for bodies at the backend server's hop
	CallerConns    int   // connections of callers
	InboundConns   int   // connections of other nodes for calls
	IdleConns      int   // idle connections to other nodes
}

const (
	// defaultMemoryMB stands for the memory of an instance whose limit is not set.
	defaultMemoryMB = 512
	// Shares of the memory, in percent. Together they leave half of the soft limit of
	// the runtime (60%) to the configuration, the members and ordinary calls.
	callerHeadsPercent    = 8
	callerBuffersPercent  = 8
	inboundHeadsPercent   = 6
	inboundBuffersPercent = 6
	// A connection with a running call has buffers and goroutines of about connBytes.
	connBytes = 48 << 10
	// inboundConnBytes is less: most connections of other nodes are idle.
	inboundConnBytes    = 24 << 10
	callerConnsPercent  = 18
	inboundConnsPercent = 10
	// Descriptors that the node keeps for its own: listeners, peers, the store and
	// files.
	ownDescriptors     = 64
	ownDescriptorsPart = 12 // of all, if that is more
	// minConns keeps a node with very low limits usable.
	minConns = 16
)

// NewPlan returns the division of a memory limit in MB and of a number of
// descriptors, of which the backend server's connections take some. 0 MB stands for
// a limit that is not set.
func NewPlan(memoryMB, descriptors, backendConns int) Plan {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	size := int64(memoryMB) << 20
	own := max(ownDescriptors, descriptors/ownDescriptorsPart)
	free := descriptors - own - min(backendConns, descriptors/8)
	// A running call of a caller holds a second connection, to another node.
	callers := min(free*3/8, int(size*callerConnsPercent/100/connBytes))
	inbound := min(free/4, int(size*inboundConnsPercent/100/inboundConnBytes))
	return Plan{
		CallerHeads: size * callerHeadsPercent / 100, CallerBuffers: size * callerBuffersPercent / 100,
		InboundHeads: size * inboundHeadsPercent / 100, InboundBuffers: size * inboundBuffersPercent / 100,
		CallerConns: max(callers, minConns), InboundConns: max(inbound, minConns), IdleConns: max(callers/2, minConns),
	}
}
