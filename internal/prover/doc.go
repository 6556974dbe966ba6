// Package prover holds the integration tests of the system: real processes
// behind relays that inject faults. docs/proofs.md lists what each test
// proves.
package prover
