/*
 * One batch job of two items over a store whose answers may be lost and whose
 * writes may be carried out late. A client hands the job in at daemon 0 and,
 * unless it is taken, at daemon 1. The daemons claim the job, run its items in
 * any order, commit results at the next free position, may crash and forget
 * everything, and take each other's claim over. The client may end the job.
 *
 * The names of the invariants are those of docs/INVARIANTS.md:
 *   RefusedNeverRuns      a job refused at every try never comes to exist
 *   ListedOnce            no item stands at two positions
 *   NothingAfterEnd       nothing is listed once the end was acknowledged
 *   NoneLost              a job that was taken ends with all items listed
 *
 * Each mechanism can be taken away: -DPROMISE_UNSETTLED (a try with a lost
 * answer is answered "not run"), -DNO_CLAIM_CHECK (results are committed
 * whoever holds the claim), -DNO_TAKEOVER, -DNO_END_CHECK (a daemon that takes
 * a job over does not look whether it was ended meanwhile; results still need
 * the claim, so this one must hold).
 */
#define DAEMONS 2
#define MAX_CLAIMS 4
#define MAX_CRASHES 1
#define MAX_LOST 2
#define FREE 9

#ifdef NO_CLAIM_CHECK
#define HOLDS(v) true
#else
#define HOLDS(v) (claim == v)
#endif

bool exists = false;       /* the acceptance row */
byte claim = 0;            /* the version of the claim row, 0: none */
byte versions = 0;         /* the store's counter */
byte position[2] = FREE;   /* the item listed at a position */
bool ended = false;        /* the end was acknowledged */
bool listedAfterEnd = false;
bool late = false;         /* an acceptance that may be carried out later */
byte answers = 0, refusals = 0;
bool taken = false;
byte claims = 0, crashes = 0, lost = 0;

#define LISTED (position[0] != FREE && position[1] != FREE)
#define OVER (LISTED || ended || (answers == 2 && !exists && !late))

inline makeJob() {
	exists = true;
	versions++;
	claim = versions
}

proctype Client() {
	byte try = 0;
	bool unsettled = false;
	do
	:: taken || try == 2 -> break
	:: else ->
		try++;
		unsettled = false;
		atomic {
			if
			:: exists -> taken = true                       /* found: 202 */
			:: !exists -> makeJob(); taken = true            /* 202 */
			:: !exists && lost < MAX_LOST -> lost++; makeJob(); unsettled = true
			:: !exists && lost < MAX_LOST -> lost++; late = true; unsettled = true
			:: !exists -> refusals++                         /* the store refused */
			fi;
			if
#ifdef PROMISE_UNSETTLED
			:: unsettled -> refusals++
#else
			:: unsettled -> skip                             /* no promise */
#endif
			:: else
			fi;
			answers++
		}
	od;
	/* The client may end a job that was taken. */
	if
	:: taken -> atomic { claim = 0; ended = true }
	:: true
	fi
}

/* The store carries out a late acceptance if the row is still absent. */
proctype LateWrite() {
	end: do
	:: atomic { late ->
			late = false;
			if
			:: !exists -> makeJob()
			:: else
			fi }
	od
}

inline commitNext(item) {
	atomic {
		if
		:: HOLDS(version) && next < 2 && position[next] == FREE ->
			position[next] = item;
			next++;
			if
			:: ended -> listedAfterEnd = true
			:: else
			fi;
#ifndef NO_CLAIM_CHECK
			if
			:: LISTED -> claim = 0
			:: else
			fi
#endif
		:: else -> held = false
		fi
	}
}

proctype Daemon() {
	byte version = 0, next = 0;
	bool held = false, left0 = false, left1 = false;
	do
	:: OVER -> break
	:: !held && claims >= MAX_CLAIMS -> break /* the bound ends the run */
	:: atomic { held && crashes < MAX_CRASHES -> crashes++; held = false }
#ifdef NO_TAKEOVER
	:: atomic { !held && claim != 0 && claims == 0 ->
#else
	:: atomic { !held && claim != 0 && claims < MAX_CLAIMS ->
#endif
			/* Claim on condition of the version that was read. */
			claims++;
			versions++;
			claim = versions;
			version = claim;
			held = true }
		/* Read what is listed; the end may come in between. */
		atomic {
			next = 0;
			left0 = true;
			left1 = true;
			do
			:: next < 2 && position[next] != FREE ->
				if
				:: position[next] == 0 -> left0 = false
				:: position[next] == 1 -> left1 = false
				fi;
				next++
			:: else -> break
			od;
#ifndef NO_END_CHECK
			if
			:: claim != version -> held = false
			:: else
			fi
#endif
		}
	:: held && left0 -> left0 = false; commitNext(0)
	:: held && left1 -> left1 = false; commitNext(1)
	od
}

active proctype Monitor() {
	end: do
	:: position[0] != FREE && position[0] == position[1] -> assert(false) /* ListedOnce */
	:: listedAfterEnd -> assert(false)                                    /* NothingAfterEnd */
	:: exists && answers == 2 && refusals == 2 -> assert(false)           /* RefusedNeverRuns */
	:: timeout ->
		/* NoneLost: nothing can move any more. */
		assert(!taken || LISTED || ended || claims >= MAX_CLAIMS);
		break
	od
}

init {
	atomic {
		run Client();
		run LateWrite();
		run Daemon();
		run Daemon()
	}
}
