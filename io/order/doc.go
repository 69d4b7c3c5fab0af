// Package order is the HTTP client for orders to model engines: load, unload and role, with a fencing
// number. It sends each order once; the controller reads back what an order without a response did.
package order
