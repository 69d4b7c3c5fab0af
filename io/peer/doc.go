// Package peer carries messages between entry VMs over WebSocket connections, with one CBOR envelope in each frame.
//
// A [Transport] keeps one outgoing connection to each VM that it is told to connect to, and serves the incoming
// connections of the other VMs. It redials with jittered exponential backoff, and closes a connection on which
// nothing arrives for three heartbeat intervals. Messages to a VM are sent on the outgoing connection, or on the
// incoming one if there is no outgoing one.
//
// Only VMs that hold the fleet's key are accepted: both ends prove it with HMAC-SHA256 over two fresh nonces.
// A transport accepts the current and the previous key, so that keys can be changed one VM at a time. The handshake
// authenticates both ends; it does not encrypt what follows.
//
// Frame size, nesting, array and map sizes, duplicate keys and indefinite lengths are checked before a message is
// decoded. A frame beyond a limit closes the connection.
//
// Send queues are bounded. A full queue drops the oldest heartbeat; any other message is refused with
// [ErrQueueFull]. Messages in the queue of a connection that fails are lost: [Transport.Request] returns an error,
// [Transport.Send] has already returned without one.
package peer
