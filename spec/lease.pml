/*
 * Handover of leases between a leader that is cut off and the next one.
 *
 * Time is discrete. The old leader renews the lease of a worker if its last
 * contact with a quorum is at most BOUND old. It may be cut off, and it may
 * freeze at any point, also between this check and its answer. The worker counts
 * the lease from the moment it sent the renewal, by a clock that may lose a tick,
 * and runs the task until the lease ends. A new leader is elected at any time after
 * the last quorum contact began. It waits BOUND, LEASE and MARGIN before it starts
 * the task elsewhere.
 *
 * Checked: the task never runs twice at a time.
 *
 * Safeguards, removed by a macro:
 *   NO_CONTACT_CHECK   the old leader renews without a quorum contact
 *   COUNT_FROM_ANSWER  the worker counts from the answer
 *   NO_WAIT            the new leader does not wait out the lease
 *   NO_BOUND           the new leader does not wait out the contact bound
 *   NO_MARGIN          the new leader allows nothing for the worker's clock
 */
#ifndef LEASE
#define LEASE 4
#endif
#define BOUND 2
#ifdef NO_BOUND
#define EXTRA 0
#else
#define EXTRA BOUND
#endif
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define HORIZON 16

byte now;         /* true time */
byte contact;     /* of the old leader with a quorum */
bool cut;         /* the old leader reaches no quorum any more */
bool elected;
byte electedAt;
bool startedElsewhere;

bool pending;     /* a renewal is under way */
byte sentAt;      /* by the worker's clock */
bool checked;     /* the old leader decided to grant it and has not answered */
byte workerClock;
bool slipped;     /* the worker's clock lost its tick */
byte leaseEnd = LEASE; /* by the worker's clock; granted at time zero */

#define running (workerClock < leaseEnd)

active proctype clock() {
	do
	:: atomic { now < HORIZON ->
		now++;
		if
		:: !slipped -> slipped = true
		:: workerClock++
		fi;
		assert(!(startedElsewhere && running)) }
	od
}

active proctype worker() {
	do
	:: atomic { !pending && running -> pending = true; sentAt = workerClock }
	:: atomic { pending && !checked -> pending = false } /* the renewal was lost */
	od
}

active proctype oldLeader() {
	do
	:: atomic { !cut && !elected -> contact = now }
	:: atomic { !cut -> cut = true }
#ifdef NO_CONTACT_CHECK
	:: atomic { pending && !checked -> checked = true }
#else
	:: atomic { pending && !checked && now - contact <= BOUND -> checked = true }
#endif
	:: atomic { checked -> /* the answer arrives, however late */
		checked = false; pending = false;
		if
#ifdef COUNT_FROM_ANSWER
		:: workerClock + LEASE > leaseEnd -> leaseEnd = workerClock + LEASE
#else
		:: sentAt + LEASE > leaseEnd -> leaseEnd = sentAt + LEASE
#endif
		:: else
		fi;
		assert(!(startedElsewhere && running)) }
	od
}

active proctype newLeader() {
	atomic { elected = true; electedAt = now };
#ifdef NO_WAIT
	atomic { startedElsewhere = true; assert(!running) }
#else
	atomic { now >= electedAt + EXTRA + LEASE + MARGIN -> startedElsewhere = true; assert(!running) }
#endif
}
