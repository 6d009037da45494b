#ifndef LYCHEE_DISPATCH_OBJECTORDER_H
#define LYCHEE_DISPATCH_OBJECTORDER_H

#include <cstdint>

namespace lychee::dispatch {

/// An object's own order of targets: weighted rendezvous hashing.
///
/// Load pattern: many objects, each asked for again and again, and targets that
/// are several times faster with an object that they handled lately. Without a
/// common order each host spreads an object over all targets, and no target is
/// warm for it. By a hash of object and target all hosts agree on the order
/// without a word between them, and a target that comes or goes moves only the
/// objects that are its own.
///
/// \param Weight  slots of the target: twice the slots, twice the objects.
/// \returns the target's place in the order: the highest is first.
double placeOf(std::uint64_t Object, std::uint64_t Target,
               double Weight) noexcept;

} // namespace lychee::dispatch

#endif
