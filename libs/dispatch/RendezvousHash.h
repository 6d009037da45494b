#ifndef LYCHEE_DISPATCH_RENDEZVOUSHASH_H
#define LYCHEE_DISPATCH_RENDEZVOUSHASH_H

#include <cstdint>

namespace lychee::dispatch {

/// Scores a target for an object by weighted rendezvous hashing.
///
/// Load pattern: many objects, each requested again and again, and targets that
/// are several times faster with an object that they handled recently. Without
/// a common order each host would spread an object over all targets, and no
/// target would be warm for it. By a hash of object and target, all hosts agree
/// on the order without communication, and a target that joins or leaves moves
/// only its own objects.
///
/// \param Weight  slots of the target: twice the slots, twice the objects.
/// \returns the score; the target with the highest one ranks first for the
/// object.
double rendezvousScore(std::uint64_t Object, std::uint64_t Target,
                       double Weight) noexcept;

} // namespace lychee::dispatch

#endif
