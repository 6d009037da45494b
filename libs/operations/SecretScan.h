#ifndef LYCHEE_OPERATIONS_SECRETSCAN_H
#define LYCHEE_OPERATIONS_SECRETSCAN_H

#include "settings/Intent.h"
#include "settings/Problem.h"

#include <string>
#include <string_view>

namespace lychee::operations {

/// Looks for callers' keys that someone pasted into a document, in a comment
/// perhaps: they would stand in the store and in every operator's copy. A word
/// that opens a key of \p Wanted is a problem, told without the word.
void findKeys(std::string_view Path, std::string_view Text,
              const settings::Intent &Wanted, settings::Problems &Found);

} // namespace lychee::operations

#endif
