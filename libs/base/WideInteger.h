#ifndef LYCHEE_BASE_WIDEINTEGER_H
#define LYCHEE_BASE_WIDEINTEGER_H

namespace lychee::base {

/// For products of two 64-bit numbers that are divided again at once.
__extension__ using Int128 = __int128;

} // namespace lychee::base

#endif
