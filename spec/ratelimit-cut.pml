/*
 * One part of a tenant's limit around a cut. Its keeper stands on the side of three
 * quarters of the fleet; daemons of the other side pass it by, and a daemon there
 * stands in for it. The tenant asks for all there is, on both sides. Time goes in
 * ticks of half a second. Daemons notice the cut and its end at any time: the
 * membership tells the keeper within NOTICE ticks, and it may see the others again at
 * any tick behind the end. The others cease to pass it by within REST ticks of the end.
 * Buckets are left out; ratelimit.pml has them.
 *
 * The name of the invariant is that of docs/INVARIANTS.md:
 *   SidesTogetherStayWithinTheLimit   in every window of WINDOW ticks both sides
 *                                     grant no more than the part, and what a
 *                                     stand-in grants until the cut is noticed
 *
 * Each mechanism can be taken away: -DKEEPERS_BY_VIEW (who misses the keeper takes
 * its place, by the part of the fleet that it still sees), -DNO_REACH (the keeper
 * grants the whole while it misses a side), -DRAISED_AT_ONCE (it grants the whole
 * again as soon as it sees the side, which may pass it by still).
 */
#define WHOLE 8
#define REACHED 6     /* three quarters of it */
#define STAND_IN 2    /* a quarter; backupShare is less: a fifth */
#define VIEWED 4      /* half: what a keeper grants that still sees most daemons */
#define NOTICE 6      /* 3 s; detectionTime is 4 s */
#define REST 6        /* missingGrace */
#define WINDOW 10
#define LAST 24
#define ALLOWED (WHOLE * WINDOW + STAND_IN * NOTICE)

mtype = { before, during, after };
mtype cut = before;
byte since = 0;              /* ticks since the cut began, or ended */
bool keeperMisses = false;   /* the keeper misses the other side */
byte seenFor = 0;            /* ticks since it sees it again */
bool isPassedBy = false;     /* the other side passes the keeper by */
bool isMissed = false;       /* the other side's daemons miss the keeper */
byte sent[WINDOW] = 0;
byte inWindow = 0;
byte now = 0;

inline send(count) {
	sent[now % WINDOW] = sent[now % WINDOW] + count;
	inWindow = inWindow + count;
	assert(inWindow <= ALLOWED)                   /* SidesTogetherStayWithinTheLimit */
}

/* The cut begins, and ends once the keeper has noticed it. */
inline links() {
	if
	:: cut == before -> cut = during; since = 0; isPassedBy = true
	:: cut == during && keeperMisses -> cut = after; since = 0
	:: true
	fi
}

inline notice() {
	if
	:: cut == during && since >= NOTICE -> keeperMisses = true
	:: cut == during && since < NOTICE -> keeperMisses = true
	:: cut == during && since < NOTICE
	:: cut != during
	fi;
	if
	:: cut == during -> isMissed = true
	:: cut == after -> isMissed = false
	:: true
	fi
}

inline recover() {
	if
	:: cut == after && since >= REST -> isPassedBy = false
	:: cut == after && since < REST -> isPassedBy = false
	:: cut == after && since < REST
	:: cut != after
	fi;
	if
	:: cut == after && seenFor > 0 && seenFor < REST -> seenFor++
	:: cut == after && seenFor == 0 -> seenFor = 1
	:: true
	fi;
	if
#ifdef RAISED_AT_ONCE
	:: cut == after && seenFor > 0 -> keeperMisses = false
#endif
	:: cut == after && (seenFor == REST || !isPassedBy) -> keeperMisses = false
	:: true
	fi
}

inline grant() {
	if
#ifndef NO_REACH
	:: keeperMisses -> send(REACHED)
	:: !keeperMisses -> send(WHOLE)
#else
	:: true -> send(WHOLE)
#endif
	fi;
	if
#ifdef KEEPERS_BY_VIEW
	:: isPassedBy && isMissed -> send(VIEWED)
#endif
	:: isPassedBy -> send(STAND_IN)
	:: !isPassedBy
	fi
}

active proctype Fleet() {
	do
	:: now == LAST -> break
	:: else ->
		atomic {
			links();
			notice();
			recover();
			grant();
			since++;
			now++;
			inWindow = inWindow - sent[now % WINDOW];
			sent[now % WINDOW] = 0
		}
	od
}
