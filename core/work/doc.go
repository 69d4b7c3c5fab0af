// Package work defines the data types that the packages of the entry VM share about a request: its rank, the backend servers
// that may run it, the results of its attempts, its refusal and its bill. It holds no policy and no state.
package work
