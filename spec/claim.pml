/*
 * Claims for calls with a key: two entry VMs (tokens 1 and 2) compete for one key. Three holders each keep
 * a write-once register. Holders crash and restart empty, messages and replies get lost, the platform goes
 * down and loses answers. The property: the call runs at most once.
 *
 * A restarted holder votes again only after it copied the registers of both others. Where the two differ, one
 * of the tokens may have won with the lost register, so the copy is marked as void and votes for nobody.
 * Each vote carries the voter's incarnation and the incarnations of the other holders that the voter knows; a claimant discards
 * a vote given by an incarnation that another voter knows to be replaced.
 *
 * Broken variants, each caught by the assertion:
 *   ONEVOTE    one vote is enough
 *   OVERWRITE  a register takes a later token
 *   EARLYVOTE  a restarted holder votes before it copied the other registers
 *   NOROSTER   votes of a replaced incarnation are counted
 *   COPYFIRST  a restarted holder takes the first token that it finds
 */
#define H 3
#define VOID 9 /* register value that matches no token */

byte reg[H];        /* recorded token, 0 = none */
bool complete[H];   /* may vote */
byte inc[H];        /* incarnation */
byte known[9];      /* known[3*i+j]: incarnation of holder j that holder i knows */
byte object;        /* token in the platform object, 0 = absent */
byte ran;
byte crashes;
bool up = true;

#ifndef CRASHES
#define CRASHES 2
#endif

inline vote(h) {
	/* The request or the reply may be lost: then there is no vote, though the token may be recorded. */
	if
	:: skip ->
		atomic {
#ifdef OVERWRITE
			if :: complete[h] -> reg[h] = t :: else fi;
#else
			if :: complete[h] && reg[h] == 0 -> reg[h] = t :: else fi;
#endif
			if
			:: complete[h] && reg[h] == t ->
				got[h] = true;
				vinc[h] = inc[h];
				vk[3*h] = known[3*h]; vk[3*h+1] = known[3*h+1]; vk[3*h+2] = known[3*h+2];
				if :: got[h] = false :: skip fi /* the reply may be lost */
			:: else
			fi
		}
	:: skip
	fi
}

/* Drops votes of incarnations that another counted voter knows to be replaced, and counts the rest. */
inline count() {
	d_step {
		votes = 0; i = 0;
		do
		:: i < H ->
			ok = got[i]; j = 0;
			do
			:: j < H ->
#ifndef NOROSTER
				if :: ok && got[j] && vk[3*j+i] > vinc[i] -> ok = false :: else fi;
#endif
				j++
			:: else -> break
			od;
			if :: ok -> votes++ :: else fi;
			i++
		:: else -> break
		od;
		i = 0; j = 0; ok = false
	}
}

proctype Claimant(byte t) {
	bool got[H]; byte vinc[H]; byte vk[9];
	byte votes, i, j; bool ok;
	vote(0); vote(1); vote(2);
	count();
	if
#ifdef ONEVOTE
	:: votes >= 1
#else
	:: votes >= 2
#endif
		->
		if
		:: up ->
			/* Create if absent. A lost answer is settled by reading back, which gives the same decision. */
			atomic { if :: object == 0 -> object = t :: else fi };
			if
			:: object == t -> ran++
			:: else
			fi
		:: !up -> ran++
		fi
	:: else
	fi;
	assert(ran <= 1)
}

proctype Holder(byte h) {
	byte a, b, seen;
	a = (h + 1) % H; b = (h + 2) % H;
	do
	:: atomic { crashes < CRASHES ->
		crashes++;
		reg[h] = 0; inc[h]++;
		known[3*h] = 0; known[3*h+1] = 0; known[3*h+2] = 0; known[3*h+h] = inc[h];
#ifdef EARLYVOTE
		complete[h] = true
#else
		complete[h] = false
#endif
		}
	:: !complete[h] && complete[a] ->
		/* Copies the registers of both others, one after the other. */
		atomic { complete[a] ->
			seen = reg[a]; known[3*a+h] = inc[h]; known[3*h+a] = inc[a] };
		if
		:: atomic { complete[b] && known[3*h+a] == inc[a] && !complete[h] ->
#ifdef COPYFIRST
			if :: seen == 0 -> seen = reg[b] :: else fi;
#else
			if
			:: seen == 0 -> seen = reg[b]
			:: seen != 0 && reg[b] != 0 && reg[b] != seen -> seen = VOID
			:: else
			fi;
#endif
			known[3*b+h] = inc[h]; known[3*h+b] = inc[b];
			if :: reg[h] == 0 -> reg[h] = seen :: else fi;
			seen = 0;
			complete[h] = true }
		:: skip
		fi;
		seen = 0
	od
}

proctype Outage() {
	up = false;
	up = true
}

init {
	atomic {
		complete[0] = true; complete[1] = true; complete[2] = true;
		run Claimant(1); run Claimant(2);
		run Holder(0); run Holder(1); run Holder(2);
		run Outage()
	}
}
