// Package fleet drives what the entry VMs do together: it joins the decisions of core/member, core/relay,
// core/bill and core/claim to the connections of io/peer and to the platform, and gives the request path
// its bills, claims and evidence.
//
// The decisions are kept under one lock each. A message handler never waits for another VM.
package fleet
