// Package resend decides where further sends of rejected calls go: to requests that
// they complete.
//
// A target that rejects a call and says that it has not run it may get the call again.
// How often, over all targets of a service together, is bounded by a ratio of the
// service's calls. The node beside a target sees each call that reaches the target and
// each rejection, so it counts what the bound counts.
//
// A Budget holds the bound of one target over every window, past and future: a resend is
// granted only if no later window can hold more resends than its first sends pay for. It
// is spent by priority, which is the same for all calls of a request and at all
// targets. Calls with a priority above a threshold are resent, others are not. The
// threshold follows from the need: the rate of first sends by importance times the
// further sends that the share of rejections calls for. Spent first come, first served,
// a budget that covers half of the need would resend half of the calls of each request
// and complete few requests that make several calls.
//
// Starts decides at an entry which classes not to start: those of which nearly all
// requests end because targets below reject their calls.
//
// The types are not safe for concurrent use. A decision takes well under a microsecond
// and allocates nothing.
package resend
