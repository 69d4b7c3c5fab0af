/*
 * The lease of a failure domain's controller. Two VMs acquire a lease with a fencing number in the platform, send orders
 * to one engine, and may be paused at any point past the lease's end. Time is counted in ticks.
 *
 * Property: the engine never applies an order of an earlier holder after an order of a later one. Engines that compare
 * fencing numbers refuse it themselves. For the others the holder checks its clock before it sends, an order
 * carries a deadline after which it is not sent or applied any more, and a new holder waits longer than that.
 *
 * Broken variants, each caught:
 *   NOFENCE NOWAIT    an engine that ignores numbers, and a new holder that does not wait
 *   NOFENCE NOMARGIN  the holder uses the lease up to its last tick
 *   NOFENCE NOCHECK   the holder does not look at its clock after a pause
 *   NONUMBER          the number does not grow with each holder
 */
#define LEASE 4
#define MARGIN 2      /* ticks before the end at which the holder stops */
#define ORDER 3       /* longest time from the clock check until the engine applies the order */
#define WAIT 2        /* wait of a new holder after the old lease has lapsed */
#define HORIZON 10
#if defined(NOCHECK)
#define INTIME true
#elif defined(NOMARGIN)
#define INTIME (now < until)
#else
#define INTIME (now + MARGIN <= until)
#endif

byte now;
byte holder;          /* 0 = none */
byte expires;
byte number;
byte applied;         /* fencing number of the last applied order */
byte gen;             /* counts holders, for the property only */
byte lastgen;
bool flying[3];
byte sentat[3], sentnum[3], sentgen[3];

inline apply() {
	flying[i] = false;
	if
	:: now - sentat[i] > ORDER -> skip
	:: else ->
#ifdef NOFENCE
		assert(sentgen[i] >= lastgen); lastgen = sentgen[i]
#else
		if
		:: sentnum[i] >= applied -> applied = sentnum[i]; assert(sentgen[i] >= lastgen); lastgen = sentgen[i]
		:: else
		fi
#endif
	fi
}

/* An order arrives at any time up to its deadline, or is lost. */
proctype Engine() {
	byte i;
	do
	:: atomic { flying[1] -> i = 1; apply() }
	:: atomic { flying[2] -> i = 2; apply() }
	:: now >= HORIZON -> break
	od
}

proctype VM(byte me) {
	byte mine, until, from, g;
	do
	:: now < HORIZON ->
		if
		:: atomic { (holder == 0 || now >= expires) && mine == 0 ->
			holder = me; expires = now + LEASE; until = expires;
#ifndef NONUMBER
			number++;
#endif
			gen++; g = gen; mine = number + 1;
			from = now;
#if defined(NOFENCE) && !defined(NOWAIT)
			from = now + WAIT
#endif
			}
		:: atomic { mine != 0 && holder == me && now < expires -> expires = now + LEASE; until = expires }
		:: atomic { mine != 0 && !flying[me] && now >= from && INTIME ->
			flying[me] = true; sentat[me] = now; sentnum[me] = mine; sentgen[me] = g }
		:: atomic { mine != 0 && now >= until -> mine = 0 }
		fi
	:: else -> break
	od
}

proctype Time() {
	do
	:: now < HORIZON -> now++
	:: else -> break
	od
}

init {
	atomic { run VM(1); run VM(2); run Engine(); run Time() }
}
