package logging

// Events returns the closed list of events. The message of every line of the
// log is one of them.
func Events() []string {
	return []string{
		"action refused",
		"admission not granted",
		"command answered",
		"command executed",
		"command without an outcome",
		"configuration in force",
		"configuration refused",
		"data folder not closed cleanly",
		"end of a claimed request not recorded",
		"ends of leases were not recorded",
		"exchange failed",
		"heartbeat not encoded",
		"leadership changed",
		"leading",
		"member changed",
		"membership changed",
		"message refused",
		"no longer leading",
		"peer answers",
		"peer does not answer",
		"registration refused",
		"replica stopped",
		"report ignored",
		"request answered",
		"slots given up after a pause",
		"snapshot not transferred",
		"target changed",
		"targets not read",
		"the configuration in force does not parse",
		"the data folder is empty, asking for admission",
		"waiting for the entries of earlier terms",
	}
}
