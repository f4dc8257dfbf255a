#pragma once

#include "batches/batchrun.h"

namespace heatherdeal::batches {

/// True if the result of the item is final.
bool
IsDone(const ItemState& aItem);

/// Discards the text generated so far.
void
ResetText(ItemState& aItem);

/// True if an engine has generated a part of the text.
bool
HasText(const ItemState& aItem);

/// True if the batch may use the item's text, given its weight versions.
bool
HasUsableVersions(const BatchRun& aRun, const ItemState& aItem);

} // namespace heatherdeal::batches
