/*
 * One chunk of a batch job with two items: item 0 may be repeated, item 1 may
 * not. Two workers claim it, run items, commit results and may crash, pause
 * (any interleaving) or lose the answer of a write that took effect. The
 * tenant may cancel at any time.
 *
 * The names of the invariants are those of internal/batch/model_test.go:
 *   OneVisibleResult      no item has two visible results
 *   NoneLost              an accepted item ends with a result unless cancelled
 *   NothingAfterCancel    nothing is committed after a cancel
 *   DispatchedOnce        an item that may not be repeated is sent at most once
 *
 * Each mechanism can be taken away: -DNO_EPOCH_CHECK, -DNO_JOB_CHECK,
 * -DNO_INTENT, -DNO_TAKEOVER.
 */
#define WORKERS 2
#define MAX_CLAIMS 4
#define MAX_CRASHES 2
#define MAX_LOST 2

#ifdef NO_EPOCH_CHECK
#define ROW_UNCHANGED(v) true
#else
#define ROW_UNCHANGED(v) (rowVersion == v)
#endif
#ifdef NO_JOB_CHECK
#define JOB_RUNS true
#else
#define JOB_RUNS (!cancelled)
#endif

byte rowVersion = 0;
byte rowEpoch = 0;
byte rowOwner = WORKERS;
bool rowDone0 = false, rowDone1 = false;
bool rowIntent = false;
byte visible0 = 0, visible1 = 0;
byte dispatched1 = 0;
bool cancelled = false;
bool committedAfterCancel = false;
byte claims = 0, crashes = 0, lost = 0;
byte alive = WORKERS;

#define ENDED (cancelled || (rowDone0 && rowDone1))

/* commit makes one result visible if the conditions of the write hold. */
inline commitItem(done, visible) {
	atomic {
		if
		:: ROW_UNCHANGED(version) && JOB_RUNS ->
			visible++;
			done = true;
			rowVersion++;
			if
			:: cancelled -> committedAfterCancel = true
			:: else
			fi;
			version = rowVersion;
			if
			:: lost < MAX_LOST -> lost++; held = false /* answer lost: give the chunk up */
			:: true
			fi
		:: else -> held = false
		fi
	}
}
proctype Worker(byte id) {
	byte version = 0;
	bool held = false;
	bool left0 = false, left1 = false, mayDispatch = false;
	do
	:: ENDED -> break
	:: !held && claims >= MAX_CLAIMS -> break /* the bound ends the run */
	:: atomic { crashes < MAX_CRASHES && alive > 1 ->
			/* The machine is lost for good. */
			crashes++;
			alive--;
			break }
	:: atomic { crashes < MAX_CRASHES ->
			/* The process restarts and has forgotten everything. */
			crashes++;
			held = false;
			version = 0 }
#ifdef NO_TAKEOVER
	:: !held && claims < MAX_CLAIMS && rowOwner == WORKERS ->
#else
	:: !held && claims < MAX_CLAIMS ->
#endif
		/* Read, then write on condition of what was read. */
		version = rowVersion;
		atomic {
			if
			:: rowVersion == version && JOB_RUNS && !(rowDone0 && rowDone1) ->
				claims++;
				rowVersion++;
				rowEpoch++;
				rowOwner = id;
				version = rowVersion;
				held = true;
				left0 = !rowDone0;
				left1 = !rowDone1;
				mayDispatch = !rowIntent;
				if
				:: lost < MAX_LOST -> lost++; held = false
				:: true
				fi
			:: else
			fi
		}
	:: held && left0 ->
		left0 = false;
		commitItem(rowDone0, visible0)
	:: held && left1 && mayDispatch ->
		/* The intent is durable before the item is sent. */
		mayDispatch = false;
#ifndef NO_INTENT
		atomic {
			if
			:: ROW_UNCHANGED(version) && JOB_RUNS -> rowIntent = true; rowVersion++; version = rowVersion
			:: else -> held = false
			fi
		}
		if
		:: !held -> skip
		:: else -> dispatched1++
		fi
#else
		dispatched1++
#endif
	:: held && left1 && !mayDispatch ->
		/* Either the answer of the own attempt or the outcome "unknown". */
		left1 = false;
		commitItem(rowDone1, visible1)
	od
}

proctype Tenant() {
	if
	:: cancelled = true
	:: true
	fi
}

active proctype Monitor() {
	end: do
	:: visible0 > 1 || visible1 > 1 -> assert(false)  /* OneVisibleResult */
	:: committedAfterCancel -> assert(false)          /* NothingAfterCancel */
	:: dispatched1 > 1 -> assert(false)               /* DispatchedOnce */
	:: timeout ->
		/* NoneLost: when nothing can move any more, the job has ended,
		   unless the bound on claims ended the run. */
		assert(ENDED || claims >= MAX_CLAIMS);
		break
	od
}

init {
	atomic {
		run Worker(0);
		run Worker(1);
		run Tenant()
	}
}
