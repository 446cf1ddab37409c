// Package fake provides test doubles: workers that run simulated tasks under
// leases, targets that serve requests, and a TCP relay that injects network
// faults. Tests, the trial run and the stand-in program use them.
package fake
