#pragma once

#include <span>

#include "core/failure.h"

namespace heatherdeal::configuration {

/// Replaces the values in errors of a document that may contain an API key of a
/// customer.
void
HideSecretValues(std::span<core::InvalidSetting> aErrors);

} // namespace heatherdeal::configuration
