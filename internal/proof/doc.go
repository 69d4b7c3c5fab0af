// Package proof runs the system as processes with one fault, or several, and checks each guarantee against
// the stand-ins' records. Every case runs the same load with a withdrawal, a changed route, a leaving engine
// and a planned stop of an entry VM; the fault comes on top.
//
// A line is printed for each guarantee and fault. The seed decides the load, the targets of the fault and
// its times.
package proof
