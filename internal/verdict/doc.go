// Package verdict compares what callers were told with what the stand-ins recorded, and reports each
// violation of a guarantee of the design page (section 1.1). It reads nothing that the router reports.
//
// A caller's request and an engine's record belong together by the identity of the prompt, which is unique
// for each request of the load tool; a plain call and the service's record by the item.
package verdict
