/*
 * Two batch jobs of one account whose limit holds one of them. Job 0 is sent to
 * two daemons, because its answer may be lost; job 1 to one. A
 * daemon reserves the job's tokens, then commits its acceptance, which may be
 * refused, have its answer lost, or be carried out late. Jobs end; an owner may
 * end without telling the account; a sweeper frees what was left behind.
 *
 * The names of the invariants are those of docs/INVARIANTS.md:
 *   WithinTheLimit   at every acceptance no more jobs wait than the limit holds
 *   TotalIsTheSum    the total is the sum of the reservations
 *
 * Each mechanism can be taken away: -DNO_VOID (the sweeper frees a job that was
 * never accepted without voiding it), -DRELEASE_ANY (a refused try takes back a
 * reservation that stood before it), -DCOUNT_TWICE (a job sent again is counted
 * again), -DLOST_AT_TAKEOVER (the next owner tells the account nothing waits),
 * -DSAME_HOLDER (a daemon reserves anew under the name that the sweeper saw).
 */
#define JOBS 2
#define LIMIT 1
#define MAX_TRIES 1
#define NOBODY 0

byte total = 0;
byte reserved[JOBS] = 0;
byte holder[JOBS] = NOBODY;
bool accepted[JOBS] = false;
bool over[JOBS] = false;
bool voided[JOBS] = false;
bool late[JOBS] = false;     /* an acceptance that may be carried out later */

/* A daemon that reserves anew does so under a new name. */
#ifdef SAME_HOLDER
#define AGAIN(me) me
#else
#define AGAIN(me) (me + 10)
#endif

#define WAITS(j) (accepted[j] && !over[j])

inline acceptJob(j) {
	accepted[j] = true;
	assert(!(WAITS(0) && WAITS(1)))                       /* WithinTheLimit */
}

inline free(j) {
	total = total - reserved[j];
	reserved[j] = 0;
	holder[j] = NOBODY;
	assert(total == reserved[0] + reserved[1])            /* TotalIsTheSum */
}

proctype Submit(byte job; byte me) {
	bool isNew, granted, again;
	byte tries = 0;
	do
	:: tries == MAX_TRIES -> break
	:: else ->
		tries++;
		again = false;
		atomic {
			isNew = false;
			granted = true;
			if
			:: reserved[job] != 0 ->
#ifdef COUNT_TWICE
				total++;
				assert(total == reserved[0] + reserved[1]);
#endif
				holder[job] = me
			:: reserved[job] == 0 && total + 1 <= LIMIT ->
				total++;
				reserved[job] = 1;
				holder[job] = me;
				isNew = true
			:: else -> granted = false
			fi
		}
		if
		:: !granted -> skip
		:: granted ->
			atomic {
				if
				:: accepted[job] -> skip                       /* known already */
				:: !accepted[job] && voided[job] ->
					/* Reserve anew, then accept in place of the void row. */
					again = true
				:: !accepted[job] && !voided[job] -> acceptJob(job)
				:: job == 0 && !accepted[job] && !voided[job] -> late[job] = true
				:: !accepted[job] ->                            /* refused for sure */
#ifdef RELEASE_ANY
					if
					:: holder[job] == me -> free(job)
#else
					if
					:: isNew && holder[job] == me -> free(job)
#endif
					:: else
					fi
				fi
			};
			if
			:: again ->
				atomic {
					if
					:: reserved[job] != 0 -> holder[job] = AGAIN(me); granted = true
					:: reserved[job] == 0 && total + 1 <= LIMIT ->
						total++;
						reserved[job] = 1;
						holder[job] = AGAIN(me);
						granted = true
					:: else -> granted = false
					fi
				};
				atomic {
					if
					:: granted && !accepted[job] && voided[job] ->
						voided[job] = false;
						late[job] = false; /* its condition can hold no more: the job exists */
						acceptJob(job)
					:: else
					fi
				}
			:: else
			fi
		fi
	od
}

/* The store carries out a late acceptance if its conditions still hold. */
proctype LateWrite(byte job) {
	end: do
	:: atomic { late[job] ->
			late[job] = false;
			if
			:: !accepted[job] && !voided[job] -> acceptJob(job)
			:: else
			fi }
	od
}

/* The job's owners: one may be followed by another, and the last one may end
   before it has told the account. */
proctype Owner(byte job) {
	if
	:: accepted[job] ->
#ifdef LOST_AT_TAKEOVER
		atomic { free(job) };
#endif
		over[job] = true;
		if
		:: atomic { free(job) }
		:: true
		fi
	:: timeout
	fi
}

proctype Sweeper(byte job) {
	byte seen, rounds = 0;
	do
	:: rounds == 1 -> break
	:: reserved[job] != 0 && rounds < 1 ->
		rounds++;
		seen = holder[job];
		if
		:: accepted[job] && over[job] ->
			atomic {
				if
				:: holder[job] == seen -> free(job)
				:: else
				fi
			}
		:: !accepted[job] ->
#ifdef NO_VOID
			atomic {
				if
				:: holder[job] == seen -> free(job)
				:: else
				fi
			}
#else
			bool isVoid = false;
			atomic {
				if
				:: !accepted[job] -> voided[job] = true; isVoid = true
				:: else
				fi
			};
			atomic {
				if
				:: isVoid && holder[job] == seen && !accepted[job] -> free(job)
				:: else
				fi
			}
#endif
		:: else
		fi
	:: timeout -> break
	od
}

init {
	atomic {
		run Submit(0, 1);
		run Submit(0, 2);
		run Submit(1, 3);
		run LateWrite(0);
		run Owner(0);
		run Sweeper(0)
	}
}
