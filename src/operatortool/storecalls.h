#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

#include "tools/blockingclient.h"

namespace heatherdeal::operatortool {

/// The stored configuration; version 0 and an empty text if there is none.
struct StoredDocument
{
  uint64_t m_version = 0;
  std::string m_text;
};

/// Reads the stored configuration document.
absl::StatusOr<StoredDocument>
ReadStoredDocument(tools::BlockingClient& aClient,
                   const core::Endpoint& aStore);

/// Replaces the document if its version is still aExpectedVersion and returns
/// the new version. After a lost response it reads the document again to learn
/// whether the write took effect. Fails with VersionConflict if another write
/// came first.
absl::StatusOr<uint64_t>
ReplaceStoredDocument(tools::BlockingClient& aClient,
                      const core::Endpoint& aStore,
                      uint64_t aExpectedVersion,
                      std::string_view aText);

} // namespace heatherdeal::operatortool
