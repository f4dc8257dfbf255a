#pragma once

#include "batches/batchrun.h"

namespace heatherdeal::batches {

/// True if the result of the item is final.
bool
IsDone(const ItemState& aItem);

/// Discards the text generated so far.
void
StartOver(ItemState& aItem);

/// True if the batch may use the item's text, given its weight versions.
bool
VersionsFit(const BatchRun& aRun, const ItemState& aItem);

} // namespace heatherdeal::batches
