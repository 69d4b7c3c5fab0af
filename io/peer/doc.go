// Package peer carries messages between entry VMs: WebSocket connections with one CBOR envelope per frame.
//
// A [Transport] keeps one outgoing connection to each VM it is told to connect to, and serves the incoming
// connections of the others. It redials with jittered exponential backoff, and closes a connection on which
// nothing arrived for three heartbeats. Messages to a VM use the outgoing connection, or the incoming one
// where there is no outgoing one.
//
// Only holders of the fleet's key are accepted: both ends prove it with HMAC-SHA256 over two fresh nonces.
// A transport accepts the current and the previous key, so keys are changed one VM at a time. The handshake
// authenticates the ends; it does not encrypt what follows.
//
// Limits are set before anything is read: frame size, nesting, array and map sizes, duplicate keys,
// indefinite lengths. A frame beyond a limit ends the connection.
//
// Send queues are bounded. A full queue drops the oldest heartbeat; any other message is refused with
// [ErrFull]. A message in a queue of a connection that fails is lost: [Transport.Ask] reports it, a
// message given to [Transport.Send] may vanish.
package peer
