/*
 * Fenced orders to one engine. Two daemons believe that they supervise it; one
 * is paused and still sends the order of an older revision. Orders may arrive
 * twice and late. The engine forgets everything when it crashes.
 *
 * Invariant; TestFenceNeverDecreases in internal/emulator checks it on the engine:
 *   FenceNeverFalls   in one life of the engine the revision that it loads
 *                     never falls
 *
 * Mechanism taken away: -DNO_FENCE.
 */
#define MAX_REVISION 3
#define MAX_CRASHES 1

byte head = 1;
byte loaded = 0;
byte highest = 0;
byte life = 0;

proctype Supervisor() {
	byte revision;
	byte sent = 0;
	do
	:: sent < 4 ->
		sent++;
		revision = head;          /* read, then possibly paused */
		atomic {
			if
#ifdef NO_FENCE
			:: true -> loaded = revision
#else
			:: revision >= loaded -> loaded = revision
			:: else               /* refused as stale */
#endif
			fi;
			assert(loaded >= highest); /* FenceNeverFalls */
			highest = loaded
		}
	:: sent == 4 -> break
	od
}

proctype Operators() {
	do
	:: head < MAX_REVISION -> head++
	:: break
	od
}

proctype Engine() {
	do
	:: life < MAX_CRASHES -> atomic { life++; loaded = 0; highest = 0 }
	:: break
	od
}

init {
	atomic {
		run Supervisor();
		run Supervisor();
		run Operators();
		run Engine()
	}
}
