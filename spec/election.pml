/*
 * Leader election, commit, and replacement of a voter that lost its disk.
 *
 * The voters 0, 1 and 2 replicate a log in which one entry, X, is a command. Voter
 * 2 may lose its disk. Its host then joins as the new member 3, a learner. Once 3
 * has the whole log, the leader removes 2 and promotes 3. After that is committed,
 * any one further host may be lost permanently.
 *
 * Each message is one step; a lost message is a step that is not executed. Term,
 * vote and log of a member are durable at the end of each step.
 *
 * Checked: at most one leader per term; a leader has X in its log if X was
 * acknowledged in an earlier term; an acknowledged X survives on a live member.
 *
 * Each macro removes one safeguard:
 *   KEEP_IDENTITY   the host that lost its disk continues as voter 2
 *   COUNT_LEARNERS  the acknowledgement of learner 3 counts towards a commit
 *   ANY_LOG         a vote is granted to a candidate with a less complete log
 *   ONE_VOTE_LOST   a vote is not stored on disk
 */
#define IDS 4
#ifndef TERMS
#define TERMS 3
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

#define BIT(i)      (1 << (i))
#define ONE(m, i)   (((m) >> (i)) & 1)
#define SIZE(m)     (ONE(m, 0) + ONE(m, 1) + ONE(m, 2) + ONE(m, 3))
#define MAJORITY(m) (SIZE(m) / 2 + 1)

byte term[IDS];
byte vote[IDS];     /* ID of the member voted for plus one, zero if none */
byte lastTerm[IDS]; /* term of the log's last entry */
byte last[IDS];     /* index of the log's last entry */
byte x[IDS];        /* index of X in the log, zero if absent */
byte config[IDS];   /* bit set of the voters in the latest membership entry of the log */
byte configAt[IDS]; /* log index of that membership entry */
byte role[IDS];
byte granted[IDS];  /* bit set of the members that voted for a candidate */
byte acks[IDS];     /* bit set of the members that have a leader's whole log */
byte commit[IDS];   /* highest log index that a leader knows to be committed */
byte start[IDS];    /* log index of a leader's first entry in its term */
byte alive;         /* bit set of the members that are running */
byte leaderOf[TERMS + 1]; /* ID of the leader of each term plus one, zero if none */
byte acknowledgedIn; /* the term in which X was acknowledged, or zero */
/* In order: X was proposed; voter 2 lost its disk; the membership with 3 in place of 2
   was committed; a further host was lost. */
bool proposed, lostDisk, repaired, lostSecond;

inline forget(i) {
	term[i] = 0; vote[i] = 0; lastTerm[i] = 0; last[i] = 0; x[i] = 0; config[i] = 0; configAt[i] = 0;
	role[i] = FOLLOWER; granted[i] = 0; acks[i] = 0; commit[i] = 0; start[i] = 0
}

inline standDown(i) {
	role[i] = FOLLOWER; granted[i] = 0; acks[i] = 0; commit[i] = 0; start[i] = 0
}

inline newTerm(i, t) {
	if
	:: term[i] < t -> term[i] = t; vote[i] = 0; standDown(i)
	:: else
	fi
}

inline appendOwn(i) {
	last[i]++;
	lastTerm[i] = term[i];
	acks[i] = BIT(i)
}

#define moreComplete(a, b) (lastTerm[a] > lastTerm[b] || (lastTerm[a] == lastTerm[b] && last[a] >= last[b]))

inline askVote(i, j) {
	newTerm(j, term[i]);
	if
#ifdef ANY_LOG
	:: vote[j] == 0 || vote[j] == i + 1 ->
#else
	:: (vote[j] == 0 || vote[j] == i + 1) && moreComplete(i, j) ->
#endif
#ifndef ONE_VOTE_LOST
		vote[j] = i + 1;
#endif
		granted[i] = granted[i] | BIT(j)
	:: else
	fi
}

inline win(i) {
	assert(leaderOf[term[i]] == 0 || leaderOf[term[i]] == i + 1);
	leaderOf[term[i]] = i + 1;
	assert(acknowledgedIn == 0 || acknowledgedIn > term[i] || x[i] != 0);
	role[i] = LEADER;
	granted[i] = 0;
	appendOwn(i);
	start[i] = last[i]
}

inline replicate(i, j) {
	newTerm(j, term[i]);
	standDown(j);
	lastTerm[j] = lastTerm[i]; last[j] = last[i]; x[j] = x[i]; config[j] = config[i]; configAt[j] = configAt[i];
	acks[i] = acks[i] | BIT(j)
}

#ifdef COUNT_LEARNERS
#define counted(i) (SIZE(acks[i] & (config[i] | BIT(3))))
#else
#define counted(i) (SIZE(acks[i] & config[i]))
#endif

inline commitAll(i) {
	commit[i] = last[i];
	if
	:: x[i] != 0 && acknowledgedIn == 0 -> acknowledgedIn = term[i]
	:: else
	fi;
	if
	:: ONE(config[i], 3) && !ONE(config[i], 2) -> repaired = true
	:: else
	fi
}

#define mayChange(i) (commit[i] >= start[i] && configAt[i] <= commit[i])

proctype member(byte i) {
	byte j;
	do
	:: atomic { ONE(alive, i) && role[i] != LEADER && ONE(config[i], i) && term[i] < TERMS ->
		term[i]++; vote[i] = i + 1; standDown(i); role[i] = CANDIDATE; granted[i] = BIT(i) }
	:: atomic { ONE(alive, i) && role[i] == CANDIDATE && SIZE(granted[i] & config[i]) >= MAJORITY(config[i]) ->
		win(i) }
	:: atomic { ONE(alive, i) && role[i] == LEADER && !proposed ->
		proposed = true; appendOwn(i); x[i] = last[i] }
	:: atomic { ONE(alive, i) && role[i] == LEADER && commit[i] < last[i] && counted(i) >= MAJORITY(config[i]) ->
		commitAll(i) }
	:: atomic { ONE(alive, i) && role[i] == LEADER && lostDisk && mayChange(i) && ONE(acks[i], 3) && ONE(config[i], 2) ->
		appendOwn(i); config[i] = config[i] & ~BIT(2); configAt[i] = last[i] }
	:: atomic { ONE(alive, i) && role[i] == LEADER && lostDisk && mayChange(i) && ONE(acks[i], 3) && !ONE(config[i], 2) && !ONE(config[i], 3) ->
		appendOwn(i); config[i] = config[i] | BIT(3); configAt[i] = last[i] }
	:: atomic { ONE(alive, i) && (role[i] == CANDIDATE || role[i] == LEADER) ->
		if
		:: j = 0 :: j = 1 :: j = 2 :: j = 3
		fi;
		if
		:: j != i && ONE(alive, j) && term[j] <= term[i] && role[i] == CANDIDATE && ONE(config[i], j) && !ONE(granted[i], j) -> askVote(i, j)
		:: j != i && ONE(alive, j) && term[j] <= term[i] && role[i] == LEADER && !ONE(acks[i], j) -> replicate(i, j)
		:: else
		fi;
		j = 0 }
	od
}

proctype losses() {
	byte j;
	atomic { !lostDisk -> lostDisk = true; forget(2);
#ifdef KEEP_IDENTITY
		config[2] = 7
#else
		alive = (alive & ~BIT(2)) | BIT(3)
#endif
	};
	atomic { repaired && !lostSecond ->
		lostSecond = true;
		if
		:: j = 0 :: j = 1 :: j = 3
		fi;
		alive = alive & ~BIT(j); forget(j);
		assert(acknowledgedIn == 0 || (x[0] != 0) || (x[1] != 0) || (x[3] != 0)) }
}

init {
	atomic {
		config[0] = 7; config[1] = 7; config[2] = 7;
		alive = 7;
		run member(0); run member(1); run member(2); run member(3); run losses()
	}
}
