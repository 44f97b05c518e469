/*
 * One tenant's limit, split into two parts, each granted by the daemon that is
 * its keeper. Time goes in ticks. A part's bucket holds at most BURST requests
 * and gains one a tick; the tenant always asks for more than there is. Either
 * keeper may be lost and replaced at any tick, as often as RESTARTS says, or be
 * paused while another daemon stands in for it and then wake. A keeper's answer
 * may come too late, and then counts for nothing.
 *
 * The name of the invariant is that of docs/INVARIANTS.md:
 *   NoWindowPassesTheLimit   in every window of WINDOW ticks no more requests
 *                            are sent than what flows in and the burst of both
 *                            parts
 *
 * Each mechanism can be taken away: -DFULL_START (a new keeper starts with a
 * full bucket), -DFULL_STAND_IN (who stands in for a keeper grants a whole part),
 * -DNO_CAPACITY (a keeper that slept has saved up without bound).
 */
#define PARTS 2
#define BURST 2
#define WINDOW 4
#define LAST 9
#define RESTARTS 2
/* What the operator tolerates beyond is left out: it pays for buckets that do not
   start empty, and for daemons that reach no keeper. */
#define ALLOWED (PARTS * (WINDOW + BURST))

byte level[PARTS] = BURST;
bool paused[PARTS] = false;
byte standInLevel[PARTS] = 0;
byte sent[WINDOW] = 0;       /* by tick, modulo the window */
byte inWindow = 0;
byte now = 0;
byte restarts = 0;
byte pauses = 0;

inline send(count) {
	sent[now % WINDOW] = sent[now % WINDOW] + count;
	inWindow = inWindow + count;
	assert(inWindow <= ALLOWED)                       /* NoWindowPassesTheLimit */
}

inline flow(p) {
	if
#ifdef NO_CAPACITY
	:: true -> level[p]++
#else
	:: level[p] < BURST -> level[p]++
	:: else
#endif
	fi
}

/* One part in one tick: it may be lost, paused or woken, and then grants all it
   has, or some of it in vain. */
inline part(p) {
	if
	:: restarts < RESTARTS && !paused[p] ->
		restarts++;
#ifdef FULL_START
		level[p] = BURST
#else
		level[p] = 0
#endif
	:: !paused[p] && pauses < 1 -> pauses++; paused[p] = true; standInLevel[p] = 0
	:: paused[p] -> paused[p] = false
	:: true
	fi;
	flow(p);
	if
	:: paused[p] ->
#ifdef FULL_STAND_IN
		standInLevel[p] = 2;
		send(standInLevel[p])
#else
		/* A quarter of the rate: one request in a pause of some ticks. */
		if
		:: standInLevel[p] == 0 -> standInLevel[p] = 1; send(1)
		:: else
		fi
#endif
	:: !paused[p] && level[p] > 0 -> send(level[p]); level[p] = 0
	:: !paused[p] && level[p] > 0 -> level[p] = 0     /* granted too late */
	:: else
	fi
}

active proctype Fleet() {
	do
	:: now == LAST -> break
	:: else ->
		atomic {
			part(0);
			part(1);
			now++;
			inWindow = inWindow - sent[now % WINDOW];
			sent[now % WINDOW] = 0
		}
	od
}
