/*
 * One batch job, its claim in the store, and one daemon that owns it and follows a
 * copy of the claims. Time goes in ticks. An answer about the claims may stay on its
 * way for any time; the copy ages from the moment at which the answer was made. The
 * job is ended at another daemon at any tick. The owner may learn so from its copy, or
 * from a commit of its own that finds the claim gone; while its copy names it as the
 * owner it takes the job up, as it must when the answer to an acceptance was lost.
 *
 * The names of the invariants are those of docs/INVARIANTS.md:
 *   EndedMeansEnded     no item is sent later than LIMIT ticks after the end
 *   KnownMeansKnown     no item is sent by a daemon that knows of the end
 *
 * Each mechanism can be taken away: -DANY_AGE (items are sent on a copy of any age),
 * -DAGE_FROM_RECEIPT (an answer counts as fresh when it comes, not when it was made),
 * -DNOT_HELD_AGAINST_THE_COPY (what a commit told is forgotten).
 */
#define LIMIT 3
#define OLD 7 /* ages are counted up to here */

bool claimed = true;       /* the claim in the store */
byte sinceEnd = 0;         /* ticks since the end */
bool copy = true;          /* the claim in the owner's copy */
byte age = 0;              /* of the copy */
bool isOnItsWay = false;   /* an answer, what it tells, and its age */
bool told = false;
byte toldAge = 0;
bool owned = true;
bool knows = false;        /* the owner was told by a commit that the claim is gone */

inline older(span) {
	if
	:: span < OLD -> span++
	:: else
	fi
}

inline apply() {
	copy = told;
#ifdef AGE_FROM_RECEIPT
	age = 0;
#else
	age = toldAge;
#endif
	isOnItsWay = false;
	if
	:: !copy -> owned = false
	:: else
	fi
}

inline sendItem() {
	assert(claimed || sinceEnd <= LIMIT);            /* EndedMeansEnded */
	assert(!knows)                                   /* KnownMeansKnown */
}

active proctype Life() {
	end: do
	:: atomic { true ->                              /* a tick */
			older(age);
			older(toldAge);
			if
			:: !claimed -> older(sinceEnd)
			:: else
			fi }
	:: atomic { claimed -> claimed = false }          /* the end, at another daemon */
	:: atomic { !isOnItsWay -> told = claimed; toldAge = 0; isOnItsWay = true }
	:: atomic { isOnItsWay -> apply() }
	:: atomic { isOnItsWay -> isOnItsWay = false }    /* the answer is lost */
	:: atomic { owned && !claimed ->                  /* a commit finds the claim gone */
			owned = false;
			knows = true }
#ifdef NOT_HELD_AGAINST_THE_COPY
	:: atomic { !owned && copy -> owned = true }
#else
	:: atomic { !owned && copy && !knows -> owned = true }
#endif
#ifdef ANY_AGE
	:: atomic { owned -> sendItem() }
#else
	:: atomic { owned && age <= LIMIT -> sendItem() }
#endif
	od
}
