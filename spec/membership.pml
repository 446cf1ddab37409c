/*
 * Membership changes by one voter at a time.
 *
 * The initial voters are 0 to 3. Leaders remove 0, add 4, and then remove 1; the
 * first two changes may come in either order. Any leader may propose the next
 * change. A member uses the latest membership in its log, even if uncommitted.
 *
 * An election is one step that collects the votes of exactly a majority. Failed
 * elections are not modelled: they only prevent steps of other members, and the
 * model never requires a step to happen.
 *
 * Checked: at most one leader per term, and a leader has every change that was
 * committed in an earlier term.
 *
 * Each macro removes one safeguard:
 *   NO_OWN_COMMIT  a leader changes the membership before it has committed an
 *                  entry of its own term
 *   MANY_AT_ONCE   a leader changes the membership while an earlier change is
 *                  uncommitted
 */
#define IDS 5
#ifndef TERMS
#define TERMS 3
#endif

#define BIT(i)      (1 << (i))
#define ONE(m, i)   (((m) >> (i)) & 1)
#define SIZE(m)     (ONE(m, 0) + ONE(m, 1) + ONE(m, 2) + ONE(m, 3) + ONE(m, 4))
#define MAJORITY(m) (SIZE(m) / 2 + 1)

byte term[IDS];     /* a member votes at most once per term */
byte lastTerm[IDS]; /* term of the log's last entry */
byte last[IDS];     /* index of the log's last entry */
byte config[IDS];   /* bit set of the voters in the latest membership entry of the log */
byte configAt[IDS]; /* log index of that membership entry */
bool leads[IDS];
byte acks[IDS];     /* bit set of the members that have a leader's whole log */
byte commit[IDS];   /* highest log index that a leader knows to be committed */
byte start[IDS];    /* log index of a leader's first entry in its term */
byte leaderOf[TERMS + 1]; /* ID of the leader of each term plus one, zero if none */
byte removedAt, addedAt; /* terms in which the removal of 0 and the addition of 4 were committed, zero before */

inline standDown(i) {
	leads[i] = false; acks[i] = 0; commit[i] = 0; start[i] = 0
}

inline newTerm(i, t) {
	if
	:: term[i] < t -> term[i] = t; standDown(i)
	:: else
	fi
}

inline appendOwn(i) {
	last[i]++;
	lastTerm[i] = term[i];
	acks[i] = BIT(i)
}

#define moreComplete(a, b) (lastTerm[a] > lastTerm[b] || (lastTerm[a] == lastTerm[b] && last[a] >= last[b]))
#define mayVote(j, i)      (ONE(config[i], j) && term[j] < t && moreComplete(i, j))

/* Elects i in term t if a majority votes for it. Each voter that may vote for i
   either does or does not. */
inline elect(i, t) {
	votes = BIT(i);
	j = 0;
	do
	:: j < IDS && j != i && mayVote(j, i) -> votes = votes | BIT(j); j++
	:: j < IDS -> j++
	:: j == IDS -> break
	od;
	if
	:: SIZE(votes) == MAJORITY(config[i]) -> win(i, t)
	:: else
	fi;
	j = 0; votes = 0; t = 0
}

inline win(i, t) {
	assert(leaderOf[t] == 0);
	leaderOf[t] = i + 1;
	assert(removedAt == 0 || removedAt > t || !ONE(config[i], 0));
	assert(addedAt == 0 || addedAt > t || ONE(config[i], 4));
	j = 0;
	do
	:: j < IDS && ONE(votes, j) -> newTerm(j, t); j++
	:: j < IDS && !ONE(votes, j) -> j++
	:: j == IDS -> break
	od;
	leads[i] = true;
	acks[i] = BIT(i);
#ifndef NO_OWN_COMMIT
	appendOwn(i);
	start[i] = last[i]
#endif
}

inline replicate(i, j) {
	newTerm(j, term[i]);
	lastTerm[j] = lastTerm[i]; last[j] = last[i]; config[j] = config[i]; configAt[j] = configAt[i];
	acks[i] = acks[i] | BIT(j)
}

inline commitAll(i) {
	commit[i] = last[i];
	if
	:: !ONE(config[i], 0) && removedAt == 0 -> removedAt = term[i]
	:: else
	fi;
	if
	:: ONE(config[i], 4) && addedAt == 0 -> addedAt = term[i]
	:: else
	fi
}

#ifdef MANY_AT_ONCE
#define mayChange(i) (commit[i] >= start[i])
#else
#ifdef NO_OWN_COMMIT
#define mayChange(i) (configAt[i] <= commit[i] || lastTerm[i] != term[i])
#else
#define mayChange(i) (commit[i] >= start[i] && configAt[i] <= commit[i])
#endif
#endif

proctype member(byte i) {
	byte j, t, votes;
	do
	:: atomic { !leads[i] && ONE(config[i], i) && term[i] < TERMS ->
		if
		:: t = term[i] + 1
		:: term[i] + 2 <= TERMS -> t = term[i] + 2
		fi;
		elect(i, t) }
	:: atomic { leads[i] && commit[i] < last[i] && lastTerm[i] == term[i] && SIZE(acks[i] & config[i]) >= MAJORITY(config[i]) ->
		commitAll(i) }
	:: atomic { leads[i] && mayChange(i) && ONE(config[i], 0) ->
		appendOwn(i); config[i] = config[i] & ~BIT(0); configAt[i] = last[i] }
	:: atomic { leads[i] && mayChange(i) && !ONE(config[i], 4) ->
		appendOwn(i); config[i] = config[i] | BIT(4); configAt[i] = last[i] }
	:: atomic { leads[i] && mayChange(i) && !ONE(config[i], 0) && ONE(config[i], 4) && ONE(config[i], 1) ->
		appendOwn(i); config[i] = config[i] & ~BIT(1); configAt[i] = last[i] }
	:: atomic { leads[i] ->
		if
		:: j = 0 :: j = 1 :: j = 2 :: j = 3 :: j = 4
		fi;
		if
		:: j != i && term[j] <= term[i] && ONE(config[i], j) && !ONE(acks[i], j) -> replicate(i, j)
		:: else
		fi;
		j = 0 }
	od
}

init {
	atomic {
		config[0] = 15; config[1] = 15; config[2] = 15; config[3] = 15;
		run member(0); run member(1); run member(2); run member(3); run member(4)
	}
}
