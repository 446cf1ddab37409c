// Package clusterconfig parses and validates the cluster configuration: the versioned
// policy that operators change with the command "set config".
//
// The configuration is replicated as the operator's text. Every process parses the
// same text with the same defaults, so that a version means the same policy in every
// process.
package clusterconfig
