// Package proof runs the system as processes with one injected fault, or several, and checks each guarantee against the records of the
// load tool and the stand-ins. Every case runs the same kind of load with a withdrawal of a version, a changed route, a leaving engine
// and a planned stop of an entry VM; the fault comes in addition.
//
// The runner prints a line for each guarantee and fault. The seed decides the load, the targets of the fault and its times.
package proof
