/*
 * Lease handover from a leader that lost its quorum to its successor.
 *
 * Time is discrete. The old leader renews a worker's lease if its last contact
 * with a quorum is at most BOUND ticks old. It may lose its quorum, and it may
 * freeze at any point, including between this check and its answer. The worker
 * counts the lease from the time it sent the renewal request, by a clock that may
 * miss one tick, and runs the task until the lease expires. The new leader may be
 * elected at any time after the old leader's last quorum contact began. It waits
 * BOUND + LEASE + MARGIN ticks before it starts the task on another worker.
 *
 * Checked: the task never runs on two workers at the same time.
 *
 * Each macro removes one safeguard:
 *   NO_CONTACT_CHECK   the old leader renews without recent quorum contact
 *   COUNT_FROM_ANSWER  the worker counts the lease from the arrival of the answer
 *   NO_WAIT            the new leader starts the task without waiting
 *   NO_BOUND           the new leader does not wait for BOUND
 *   NO_MARGIN          the new leader does not allow for the worker's slow clock
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
#define HORIZON 16 /* ticks until the model's time ends */

byte now;         /* true time in ticks */
byte contact;     /* time of the old leader's last quorum contact */
bool cut;         /* the old leader has lost its quorum permanently */
bool elected;
byte electedAt;
bool startedElsewhere;

bool pending;     /* a renewal request is in flight */
byte sentAt;      /* send time of that request by the worker's clock */
bool checked;     /* the old leader has granted it, and the answer has not arrived */
byte workerClock;
bool slipped;     /* the worker's clock has missed its one tick */
byte leaseEnd = LEASE; /* expiry by the worker's clock; the first lease starts at zero */

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
	:: atomic { pending && !checked -> pending = false } /* the request was lost */
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
	:: atomic { checked -> /* the answer arrives, after any delay */
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
