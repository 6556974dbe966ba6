package registrar

// A LenderAnnouncement says in a heartbeat that an instance is the lender of a
// rate shard.
type LenderAnnouncement struct {
	Shard int   `cbor:"shard"`
	Epoch int64 `cbor:"epoch"` // Fencing number of the lease.

	// SlotVersion is the highest version of standing slots that the lender has
	// deducted from its pools. The holder of a slot uses it only after a lender
	// has announced the slot's version or a later one.
	SlotVersion int64 `cbor:"slots"`
}
