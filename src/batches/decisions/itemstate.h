#pragma once

#include "batches/batchrun.h"

namespace heatherdeal::batches {

bool
IsDone(const ItemState& aItem);

/// Forgets the text that the item has so far.
void
StartOver(ItemState& aItem);

/// True if the batch may use text of these versions.
bool
VersionsFit(const BatchRun& aRun, const ItemState& aItem);

} // namespace heatherdeal::batches
