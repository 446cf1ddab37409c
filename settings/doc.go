// Package settings reads and validates the settings file of a process.
//
// Load validates the whole file and returns all faults at once, each with its file,
// line and key. The policy of the cluster is not part of the settings: see package
// clusterconfig.
package settings
