// Package settings reads and checks the settings file of a process.
//
// A file is checked as a whole: Load returns every fault at once, each with its
// file, line and key. The policy of the cluster is not part of the settings: see
// package clusterconfig.
package settings
