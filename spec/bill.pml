/*
 * Bills of one owner for two requests, with one copy holder and one VM (the taker) to which the callers may
 * reconnect. Sets of requests are bit masks. Any message or reply may be lost, the owner may crash, the
 * holder may restart empty or wrongly take the owner for gone, and the platform's answers may be lost.
 *
 * Properties: no request is in two batches. A request is in one batch if its owner did not crash, or if its copy was
 * acknowledged and the holder did not restart.
 *
 * Rules: a copy names the holder's incarnation. A holder that wrote the owner's batch takes no more copies
 * for it. A taker bills only if the holder of that incarnation has no copy and will take none, and if it wins
 * the platform object taken/REQUEST. An owner without an acknowledged copy has to win the same object.
 *
 * Broken variants, each caught:
 *   NOSETTLE   the owner bills without having won taken/REQUEST
 *   REFILE     after a lost race for its batch the owner files all of it again
 *   NOINC      the holder's incarnation is not compared
 *   DROPTAKEN  the owner drops a bill that the holder calls taken, without asking the platform
 *   LATECOPY   the holder acknowledges copies for a batch that it already wrote
 */
#define R 2
#define BIT(r) (1 << (r))
#define NONE 255
#define OWNER 1
#define TAKER 2
#ifdef NOINC
#define SAMEINC true
#else
#define SAMEINC (inc == 0)
#endif
#ifdef LATECOPY
#define OPENBATCH true
#else
#define OPENBATCH (!closed)
#endif

byte batch = NONE;   /* the owner's batch object */
byte refiled;        /* the owner's second batch */
byte takerbatch;
byte taken[R];       /* platform objects taken/REQUEST: who won */

byte inc;            /* the holder's incarnation */
byte copies;         /* held by the holder */
byte marked;         /* requests for which the holder refuses copies */
bool closed;         /* the holder wrote the batch */

byte acked;          /* copies that the owner saw acknowledged */
bool crashed;
bool restarted;
bool ownerdone, takerdone, holderdone;

proctype Owner() {
	byte r, confirmed, open;
	bool ok;
	r = 0;
	do
	:: r < R ->
		ok = false;
		if
		:: skip ->  /* the copy arrives */
			atomic {
				if
				:: SAMEINC && !(marked & BIT(r)) && OPENBATCH ->
					copies = copies | BIT(r);
					if
					:: ok = true; acked = acked | BIT(r)
					:: skip  /* the reply is lost */
					fi
				:: else ->
#ifdef DROPTAKEN
					if
					:: marked & BIT(r) -> goto next
					:: else
					fi
#endif
					skip
				fi
			}
		:: skip  /* the copy is lost */
		fi;
		if
		:: ok -> confirmed = confirmed | BIT(r)
		:: else -> open = open | BIT(r)
		fi;
#ifdef DROPTAKEN
next:
#endif
		r++
	:: crashed = true; goto end
	:: r == R -> break
	od;

	/* Settles the bills without an acknowledged copy. */
	r = 0;
	do
	:: r < R ->
		if
		:: open & BIT(r) ->
#ifdef NOSETTLE
			confirmed = confirmed | BIT(r)
#else
			atomic { if :: taken[r] == 0 -> taken[r] = OWNER :: else fi };
			if :: taken[r] == OWNER -> confirmed = confirmed | BIT(r) :: else fi
#endif
		:: else
		fi;
		r++
	:: crashed = true; goto end
	:: r == R -> break
	od;

	atomic { if :: batch == NONE -> batch = confirmed :: else fi };
	if
	:: crashed = true; goto end
	:: skip
	fi;
	/* Reads back: files what the batch of that name does not hold. */
#ifdef REFILE
	if :: batch != confirmed -> refiled = confirmed :: else fi;
#else
	refiled = confirmed & ~batch;
#endif
end:
	ownerdone = true
}

proctype Holder() {
	do
	:: atomic { !restarted -> restarted = true; inc++; copies = 0; marked = 0; closed = false }
	:: atomic { !closed && inc == 0 -> closed = true;
		if :: batch == NONE -> batch = copies :: else fi }
	:: ownerdone && takerdone -> break
	od;
	/* A gone owner is noticed in the end. */
	atomic {
		if
		:: !closed && inc == 0 ->
			closed = true;
			if :: batch == NONE -> batch = copies :: else fi
		:: else
		fi
	};
	holderdone = true
}

proctype Taker() {
	byte r;
	bool free;
	r = 0;
	do
	:: r < R ->
		free = false;
		if
		:: skip ->
			atomic {
				if
				:: SAMEINC && !(copies & BIT(r)) ->
					marked = marked | BIT(r);
					if :: free = true :: skip fi  /* the reply may be lost */
				:: else
				fi
			}
		:: skip
		fi;
		if
		:: free ->
			if
			:: atomic { if :: taken[r] == 0 -> taken[r] = TAKER :: else fi };
				if :: taken[r] == TAKER -> takerbatch = takerbatch | BIT(r) :: else fi
			:: skip  /* the taker stops here */
			fi
		:: else
		fi;
		r++
	:: else -> break
	od;
	takerdone = true
}

#define IN(set, r) (((set) >> (r)) & 1)
#define INBATCH(r) (batch != NONE && IN(batch, r))

proctype Monitor() {
	byte r;
	ownerdone && takerdone && holderdone;
	do
	:: r < R ->
		assert(!(INBATCH(r) && IN(refiled, r)));
		assert(!(INBATCH(r) && IN(takerbatch, r)));
		assert(!(IN(refiled, r) && IN(takerbatch, r)));
		if
		:: !crashed || (IN(acked, r) && !restarted) ->
			assert(INBATCH(r) || IN(refiled, r) || IN(takerbatch, r))
		:: else
		fi;
		r++
	:: else -> break
	od
}

init {
	atomic { run Owner(); run Holder(); run Taker(); run Monitor() }
}
