package chutebudget

const (
	// SmallBody is the size in bytes up to which a body may use the whole budget. Bodies of ordinary jobs have some hundred
	// bytes to some kilobytes, so that they are still admitted while large bodies exhaust their part.
	SmallBody = 64 << 10
	// bodyShare is the share of the memory limit for bodies and responses, as a divisor. A body is decoded and garbage is
	// collected late, so that a byte of it can cost several.
	bodyShare = 8
	// largeShare is the share of the budget for bodies over SmallBody, in quarters.
	largeShare = 3
	// connectionBytes is the memory that must be available for one connection. The HTTP library holds up to 40 KiB for it:
	// 16 KiB to read a header, 8 KiB of the body, 4 KiB to write and its stack. The system holds up to 24 KiB that have
	// arrived and are not read.
	connectionBytes = 80 << 10
	// addressShare is the share of the connections that one address may have, in quarters. All clients of a zone may reach a
	// host from few addresses; the remaining quarter keeps the others served.
	addressShare = 3
	// reserveShare is the share of the connections that is kept free for other addresses, as a divisor: the limit of an
	// address applies only from there on, so that the clients of a single address are served as long as nobody needs the
	// connections.
	reserveShare = 64
	// quarters is the denominator of largeShare and addressShare.
	quarters = 4
	// unlimitedMemory is the memory limit that is assumed if there is none, in bytes.
	unlimitedMemory = 1 << 30
)

// Limits bound what clients may hold at the same time.
type Limits struct {
	Bytes              int64 // of bodies and responses of all clients
	LargeBytes         int64 // the part of Bytes that bodies over SmallBody may use
	AddressBytes       int64 // the part of Bytes that one address may use
	Connections        int
	AddressConnections int // of one address, while the total is at least SharedFrom
	SharedFrom         int
}

// WithConnections returns the limits with other numbers of connections in total and for one address. A number of 0 changes
// nothing, and none is raised above what the memory and the descriptors allow. A limit for one address that is set
// applies at any total.
func (l Limits) WithConnections(total, address int) Limits {
	if total > 0 {
		l.Connections = min(total, l.Connections)
		l.AddressConnections, l.SharedFrom = shareOf(l.Connections)
	}
	if address > 0 {
		l.AddressConnections, l.SharedFrom = min(address, l.Connections), 0
	}
	return l
}

// shareOf returns how many of the connections one address may have, and the total from which this applies.
func shareOf(connections int) (share, from int) {
	return max(1, connections*addressShare/quarters), connections - max(1, connections/reserveShare)
}

// WithLargest returns the limits with a budget that holds at least two bodies of the size, whatever the memory limit.
func (l Limits) WithLargest(bytes int64) Limits {
	if l.Bytes < 2*bytes {
		l.Bytes, l.LargeBytes, l.AddressBytes = 2*bytes, 2*bytes*largeShare/quarters, bytes
	}
	return l
}

// Allow reports whether the claim could be admitted if nobody else held anything.
func (l Limits) Allow(b Body) bool {
	return b.Held+b.Bytes <= min(l.LargeBytes, l.AddressBytes)
}

// NewLimits derives the limits from the memory limit in bytes, the limit on descriptors and the largest number of
// connections that the server is built for. A limit of 0 is unknown. Half of the descriptors are left for the host's own
// connections.
func NewLimits(memory int64, files, connections int) Limits {
	if memory <= 0 {
		memory = unlimitedMemory
	}
	connections = max(1, min(connections, int(memory/connectionBytes)))
	if files > 0 {
		connections = max(1, min(connections, files/2))
	}
	bytes := memory / bodyShare
	share, from := shareOf(connections)
	return Limits{
		Bytes: bytes, LargeBytes: bytes * largeShare / quarters, AddressBytes: bytes / 2,
		Connections: connections, AddressConnections: share, SharedFrom: from,
	}
}
