#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

#include "tools/blockingclient.h"

namespace heatherdeal::operatortool {

/// The stored configuration; version 0 and "" if there is none.
struct StoredDocument
{
  uint64_t m_version = 0;
  std::string m_text;
};

absl::StatusOr<StoredDocument>
ReadStored(tools::BlockingClient& aClient, const core::Endpoint& aStore);

/// Replaces the document if it still has aIfVersion. A lost reply is
/// recognised by reading back. VersionConflict if another operator was
/// faster.
absl::StatusOr<uint64_t>
WriteStored(tools::BlockingClient& aClient,
            const core::Endpoint& aStore,
            uint64_t aIfVersion,
            std::string_view aText);

} // namespace heatherdeal::operatortool
