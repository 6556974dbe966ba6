// Package prover holds the integration tests of the system. They run real
// processes behind relays that inject faults. docs/proofs.md lists what each
// test verifies.
package prover
