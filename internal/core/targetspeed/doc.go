// Package targetspeed estimates how long calls take in the node's own target at this
// moment, from the node's measurements and from the time factor that the target states.
//
// A target states how long work takes on its machine now, as a percentage of the usual.
// The figure is newer than any measurement, which needs completed calls, but some targets
// state figures that are not true. A Meter therefore compares the two:
//
//   - For each class it keeps the usual time: the mean time in the target, without the
//     time of the target's own calls, divided by the trusted part of the factor stated
//     during the call.
//   - The stated factor is the figure divided by 100. Usual times are relative to it, so a
//     figure that is wrong by a constant, such as one that is always 50, changes no
//     estimate.
//   - The measured factor is the recent mean of times relative to the usual ones of their
//     classes.
//   - Trust is multiplied by 0.7 with each answer after which the factors stated and
//     measured over the same recent calls disagree, and otherwise recovers by 0.05 of the
//     rest.
//
// The factor in use is the stated one as far as it is trusted, and the measured one for
// the rest. ClassTime is the usual time of a class times that factor.
//
// A Meter isn't safe for concurrent use.
package targetspeed
