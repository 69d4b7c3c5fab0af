/*
 * Order and spread of the configuration document, and the check at dispatch. Two operators write with
 * conditional updates whose answers may be lost; VMs hear revisions from the platform (also late reads) and
 * from each other, restart without a document, and freeze. Revision 2 and later withdraw the version.
 *
 * Properties: the revision in force at a VM never falls while the VM runs. A VM that has revision 2 or later in force
 * dispatches nothing to the withdrawn version. No operator's change is lost: each write that was reported as
 * applied is contained in the latest document. A thawed VM dispatches only after it heard a current revision
 * or could reach nobody.
 *
 * Broken variants, each caught:
 *   ANYREV    a VM takes any revision that it hears
 *   EARLY     the check is made when work is queued, not at dispatch
 *   BLIND     an operator writes without a condition
 *   NOREFRESH a thawed VM dispatches at once though a peer could be reached
 */
#define VMS 2
#define HOPS 4  /* steps of the first VM; the second takes one less */

byte rev = 1;         /* platform: version of the document */
byte content;         /* platform: which operators' changes the document holds, bit mask */
byte force[VMS];      /* revision in force, 0 = none */
bool stale[VMS];      /* thawed and not refreshed yet */
byte applied;         /* changes whose operator was told "applied" */
byte mail[VMS];       /* a late message on its way, 0 = none */
byte done;

inline take(v, n) {
#ifdef ANYREV
	force[v] = n
#else
	if :: n > force[v] -> force[v] = n :: else fi
#endif
}

proctype Operator(byte id) {
	byte r, c, tries;
	do
	:: tries < 2 ->
		tries++;
		atomic { r = rev; c = content };
		/* The operator edits; the other operator may write meanwhile. */
		atomic {
#ifndef BLIND
			if
			:: rev == r ->
#endif
				rev++; content = c | id;
#ifndef BLIND
			:: else -> goto conflict
			fi;
#endif
			skip
		};
		/* A lost answer is settled by reading back the document, which holds the change. */
		applied = applied | id;
		break;
conflict:
		skip
	:: else -> break
	od;
	done++
}

proctype VM(byte v) {
	byte queued, before, n, hops, fresh;
	hops = 0;
	do
	:: hops < HOPS - v ->
		hops++;
		before = force[v];
		if
		:: atomic { n = rev; take(v, n); stale[v] = false }          /* a current read of the platform */
		:: atomic { mail[v] == 0 -> mail[v] = rev }                  /* a read whose answer comes late */
		:: atomic { mail[v] != 0 -> n = mail[v]; mail[v] = 0; take(v, n) }
		:: atomic { force[1-v] != 0 -> n = force[1-v]; take(v, n) }  /* heard from the peer */
		:: atomic { force[v] = 0; queued = 0; stale[v] = false; before = 0 }  /* restart without a document */
		:: atomic { force[v] != 0 -> stale[v] = true }               /* frozen and thawed */
		:: atomic { force[v] != 0 && force[v] < 2 -> queued = 1 }    /* work for the version is accepted */
		:: atomic { queued && force[v] != 0 ->
#ifdef EARLY
				queued = 0;
				assert(force[v] < 2)
#else
				if
				:: force[v] >= 2 -> queued = 0               /* refused as not run */
#ifdef NOREFRESH
				:: force[v] < 2 -> queued = 0;
					assert(!stale[v])
#else
				:: force[v] < 2 && !stale[v] -> queued = 0
				:: force[v] < 2 && stale[v] -> skip
#endif
				fi
#endif
			}
		fi;
		assert(force[v] >= before)
	:: else -> break
	od;
	done++
}

proctype Monitor() {
	done == VMS + 2;
	assert((applied & content) == applied)
}

init {
	atomic { run Operator(1); run Operator(2); run VM(0); run VM(1); run Monitor() }
}
