package registrar

// A Lending is a rate shard that an instance lends, as it announces it in
// heartbeats.
type Lending struct {
	Shard int   `cbor:"shard"`
	Epoch int64 `cbor:"epoch"` // Fencing number of the lease.

	// Slots is the highest version of a standing slot that the lender has
	// taken out of its pools. The holder of a slot uses it only after a
	// lender has announced the slot's version or a later one.
	Slots int64 `cbor:"slots"`
}
