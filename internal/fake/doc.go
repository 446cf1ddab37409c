// Package fake provides stand-ins for the platform: workers that run pretended
// tasks under leases, targets that serve requests, and a TCP relay that goes
// silent on command. Tests, the trial run and the stand-in program use them.
package fake
