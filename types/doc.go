// Package types holds the data types that the other packages share: resources,
// workers, jobs, tasks, targets and the cluster's configuration.
//
// A Job is what an operator declares. It has one or more Tasks (the replicas of
// a service; one for batch jobs and watchers). Each start of a task on a worker
// is an attempt, numbered by the task's epoch.
package types
