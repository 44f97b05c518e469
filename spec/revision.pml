/*
 * The configuration log with two racing operators and the three daemons of a
 * zone. A daemon learns a revision from the table, offers it to its zone and
 * puts it in force once a majority has stored it. Daemons restart and forget
 * everything; the table goes down. A restarting daemon reads the head from the
 * table or, while the table is down, the highest stored revision of a majority,
 * which it offers again before it serves.
 *
 * Invariants, named as in internal/revision/model_test.go:
 *   OneWinner      two operators never write the same revision
 *   NeverReverts   the revision that a daemon serves never falls, restarts
 *                  included, while no majority restarts at once
 *   AllReachHead   when nothing fails any more, all daemons serve the head
 *
 * Mechanisms taken away: -DNO_INSERT_CONDITION, -DNO_MAJORITY_STORE,
 * -DNO_RISE_CHECK, -DNO_CATCH_UP.
 */
#define DAEMONS 3
#define MAJORITY 2
#define MAX_REVISION 2
#define MAX_RESTARTS 1

byte head = 0;
byte writes[MAX_REVISION + 1];
bool tableUp = true;
byte stored[DAEMONS];
byte applied[DAEMONS];
byte served[DAEMONS];        /* the highest revision ever served, for the checker */
bool up[DAEMONS];
byte restarts = 0;
byte flips = 0;

proctype Operator() {
	byte seen;
	byte tries = 0;
	do
	:: tries < 2 && tableUp && head < MAX_REVISION ->
		tries++;
		seen = head;
		atomic {
			if
#ifdef NO_INSERT_CONDITION
			:: tableUp && seen < MAX_REVISION ->
#else
			:: tableUp && head == seen && seen < MAX_REVISION ->
#endif
				writes[seen + 1]++;
				if
				:: seen + 1 > head -> head = seen + 1
				:: else
				fi
			:: else /* a typed conflict names the winner */
			fi
		}
	:: break
	od
}

/* storedBy counts the daemons that are up and hold the revision. */
#define HOLDS(d, r) (up[d] && stored[d] >= r)
#define storedBy(r) ((HOLDS(0, r) -> 1 : 0) + (HOLDS(1, r) -> 1 : 0) + (HOLDS(2, r) -> 1 : 0))

inline serve(revision) {
	d_step {
#ifndef NO_RISE_CHECK
		if
		:: revision > applied[id] -> applied[id] = revision
		:: else
		fi;
#else
		applied[id] = revision;
#endif
		if
		:: applied[id] > served[id] -> served[id] = applied[id]
		:: else
		fi
	}
}

/* offer lets any of the other daemons store the revision; offers may be lost. */
inline offer(other) {
	if
	:: up[other] && stored[other] < stored[id] -> stored[other] = stored[id]
	:: true
	fi
}

/* bootstrap makes a starting daemon serve once a majority has stored what it
   found; otherwise it tries again. */
inline bootstrap() {
	up[id] = true;
	offer((id + 1) % DAEMONS);
	offer((id + 2) % DAEMONS);
	if
	:: storedBy(stored[id]) >= MAJORITY -> serve(stored[id])
	:: else -> up[id] = false; stored[id] = 0
	fi
}

proctype Daemon(byte id) {
	byte seen = 0;
	do
	:: atomic { id < MAJORITY && up[id] && tableUp && stored[id] < head ->
			/* One of two watchers polls. */
			stored[id] = head }
	:: atomic { up[id] && stored[id] > applied[id] ->
			/* Offer to the zone; serve once a majority has stored it. */
			offer((id + 1) % DAEMONS);
			offer((id + 2) % DAEMONS);
			if
#ifdef NO_MAJORITY_STORE
			:: true -> serve(stored[id])
#else
			:: storedBy(stored[id]) >= MAJORITY -> serve(stored[id])
			:: else
#endif
			fi }
#ifndef NO_CATCH_UP
	:: seen == 0 && up[id] && up[(id + 1) % DAEMONS] && applied[(id + 1) % DAEMONS] > applied[id] ->
		/* Gossip shows a higher revision; the answer to the fetch may be
		   late, when a higher one has been applied meanwhile. */
		seen = applied[(id + 1) % DAEMONS]
	:: atomic { seen > 0 ->
			if
			:: up[id] ->
				stored[id] = (stored[id] < seen -> seen : stored[id]);
				serve(seen)
			:: else
			fi;
			seen = 0 }
#endif
	:: atomic { up[id] && restarts < MAX_RESTARTS ->
			restarts++;
			up[id] = false;
			stored[id] = 0;
			applied[id] = 0;
			seen = 0 }
	:: atomic { !up[id] && tableUp ->
			/* Bootstrap from the table. */
			stored[id] = head;
			bootstrap() }
	:: atomic { !up[id] && !tableUp && up[(id + 1) % DAEMONS] && up[(id + 2) % DAEMONS] ->
			/* Bootstrap from the others, a majority of the zone. */
			stored[id] = (stored[(id + 1) % DAEMONS] > stored[(id + 2) % DAEMONS] -> stored[(id + 1) % DAEMONS] : stored[(id + 2) % DAEMONS]);
			bootstrap() }
	:: timeout -> break
	od
}

proctype Platform() {
	do
	:: flips < 2 -> flips++; tableUp = !tableUp
	:: flips == 2 -> break
	od
}

#define FALLEN(d) (up[d] && applied[d] > 0 && applied[d] < served[d])

active proctype Monitor() {
	end: do
	:: writes[1] > 1 || writes[2] > 1 -> assert(false) /* OneWinner */
	:: FALLEN(0) || FALLEN(1) || FALLEN(2) -> assert(false)             /* NeverReverts */
	od
}

proctype AtRest() {
	timeout -> /* AllReachHead */
	assert(!(up[0] && up[1] && up[2] && tableUp) || (applied[0] == head && applied[1] == head && applied[2] == head))
}

init {
	atomic {
		up[0] = true; up[1] = true; up[2] = true;
		run Operator();
		run Operator();
		run Daemon(0);
		run Daemon(1);
		run Daemon(2);
		run Platform();
		run AtRest()
	}
}
