package chutebudget

import "github.com/benbjohnson/immutable"

// Address is the IP address of a client, in 16 bytes.
type Address [16]byte

// Claim is what a client asks for.
type Claim interface{ isClaim() }

// Connection is the claim of a new connection.
type Connection struct{ From Address }

// Body is the claim of a request for bytes of its body, of which it holds some already.
type Body struct {
	From  Address
	Held  int64
	Bytes int64
}

// Response is the claim of a response for its bytes. It is always admitted, since a response is never withheld, but the
// bytes count for later claims.
type Response struct {
	From  Address
	Bytes int64
}

func (Connection) isClaim() {}
func (Body) isClaim()       {}
func (Response) isClaim()   {}

// Verdict is the decision on a claim: VerdictAdmitted, or the limit that refuses it.
type Verdict int

// The verdicts.
const (
	VerdictAdmitted Verdict = iota
	VerdictBudget
	VerdictAddressBudget
	VerdictConnections
	VerdictAddressConnections
)

// String returns the kebab-case name of the verdict, which metrics and log lines show.
func (v Verdict) String() string {
	switch v {
	case VerdictAdmitted:
		return "admitted"
	case VerdictBudget:
		return "budget"
	case VerdictAddressBudget:
		return "address-budget"
	case VerdictConnections:
		return "connections"
	case VerdictAddressConnections:
		return "address-connections"
	}
	return "unknown"
}

// Use is what clients hold.
type Use struct {
	Bytes       int64
	Connections int
}

// plus returns the sum of two uses, without negative parts.
func (u Use) plus(other Use) Use {
	return Use{Bytes: max(0, u.Bytes+other.Bytes), Connections: max(0, u.Connections+other.Connections)}
}

// Account is what all clients hold, in total and by address. It is immutable.
type Account struct {
	limits    Limits
	total     Use
	addresses *immutable.Map[Address, Use]
}

// addressHasher hashes addresses for the map of an account.
type addressHasher struct{}

// Hash returns a hash of the address (FNV-1a over its 16 bytes).
func (addressHasher) Hash(a Address) uint32 {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for _, b := range a {
		hash = (hash ^ uint32(b)) * prime
	}
	return hash
}

// Equal reports whether the addresses are the same.
func (addressHasher) Equal(a, b Address) bool {
	return a == b
}

// NewAccount returns an account in which clients hold nothing.
func NewAccount(limits Limits) Account {
	return Account{limits: limits, addresses: immutable.NewMap[Address, Use](addressHasher{})}
}

// Limits returns the limits of the account.
func (a Account) Limits() Limits {
	return a.limits
}

// Total returns what all clients hold.
func (a Account) Total() Use {
	return a.total
}

// Of returns what the clients of the address hold.
func (a Account) Of(from Address) Use {
	use, _ := a.addresses.Get(from)
	return use
}

// Admit decides on the claim. It returns the account with the claim if it is admitted, and the unchanged one otherwise.
func (a Account) Admit(claim Claim) (Account, Verdict) {
	if verdict := a.judge(claim); verdict != VerdictAdmitted {
		return a, verdict
	}
	return a.WithUse(useOf(claim)), VerdictAdmitted
}

// WithoutClaim returns the account without a claim that was admitted before.
func (a Account) WithoutClaim(claim Claim) Account {
	from, use := useOf(claim)
	return a.WithUse(from, Use{Bytes: -use.Bytes, Connections: -use.Connections})
}

// WithUse returns the account with the use added to the address. An address that holds nothing takes no memory.
func (a Account) WithUse(from Address, use Use) Account {
	a.total = a.total.plus(use)
	if sum := a.Of(from).plus(use); sum != (Use{}) {
		a.addresses = a.addresses.Set(from, sum)
	} else {
		a.addresses = a.addresses.Delete(from)
	}
	return a
}

// useOf returns the address of the claim and what it asks for.
func useOf(claim Claim) (Address, Use) {
	switch c := claim.(type) {
	case Connection:
		return c.From, Use{Connections: 1}
	case Body:
		return c.From, Use{Bytes: c.Bytes}
	case Response:
		return c.From, Use{Bytes: c.Bytes}
	}
	return Address{}, Use{}
}

func (a Account) judge(claim Claim) Verdict {
	switch c := claim.(type) {
	case Connection:
		return a.judgeConnection(c)
	case Body:
		return a.judgeBody(c)
	case Response:
	}
	return VerdictAdmitted
}

func (a Account) judgeConnection(c Connection) Verdict {
	switch {
	case a.total.Connections >= a.limits.SharedFrom && a.Of(c.From).Connections >= a.limits.AddressConnections:
		return VerdictAddressConnections
	case a.total.Connections >= a.limits.Connections:
		return VerdictConnections
	}
	return VerdictAdmitted
}

func (a Account) judgeBody(c Body) Verdict {
	limit := a.limits.Bytes
	if c.Held+c.Bytes > SmallBody {
		limit = a.limits.LargeBytes
	}
	switch {
	case a.total.Bytes+c.Bytes > limit:
		return VerdictBudget
	case c.Held+c.Bytes > SmallBody && a.Of(c.From).Bytes+c.Bytes > a.limits.AddressBytes:
		return VerdictAddressBudget
	}
	return VerdictAdmitted
}
