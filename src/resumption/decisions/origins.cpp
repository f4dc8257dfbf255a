#include "resumption/origins.h"

namespace heatherdeal::resumption {

namespace {

constexpr size_t kMaxOrigins = 4096;

void
DropOldest(OriginTable& aTable, core::Instant aNow)
{
  while (!aTable.m_order.empty()) {
    const auto oldest = aTable.m_byStream.find(aTable.m_order.front());
    if (aTable.m_order.size() <= kMaxOrigins &&
        oldest->second.m_expiresAt > aNow) {
      return;
    }
    aTable.m_byStream.erase(oldest);
    aTable.m_order.pop_front();
  }
}

} // namespace

void
AddOrigin(OriginTable& aTable, const StreamOrigin& aOrigin, core::Instant aNow)
{
  const auto [found, isNew] =
    aTable.m_byStream.emplace(aOrigin.m_stream, aOrigin);
  if (isNew) {
    aTable.m_order.push_back(aOrigin.m_stream);
  } else if (found->second.m_software != aOrigin.m_software) {
    found->second.m_software.reset();
  }
  DropOldest(aTable, aNow);
}

std::optional<core::Software>
FindSoftware(const OriginTable& aTable,
             const StreamId& aStream,
             core::Instant aNow)
{
  const auto found = aTable.m_byStream.find(aStream);
  const bool isKnown =
    found != aTable.m_byStream.end() && found->second.m_expiresAt > aNow;
  return isKnown ? found->second.m_software : std::nullopt;
}

std::vector<StreamOrigin>
MergeOrigins(std::span<const StreamOrigin> aStored,
             std::span<const StreamOrigin> aOwn,
             core::Instant aNow)
{
  OriginTable table;
  for (const std::span<const StreamOrigin> list : { aStored, aOwn }) {
    for (const StreamOrigin& origin : list) {
      if (origin.m_expiresAt > aNow) {
        AddOrigin(table, origin, aNow);
      }
    }
  }
  std::vector<StreamOrigin> merged;
  for (const StreamId& stream : table.m_order) {
    merged.push_back(table.m_byStream.at(stream));
  }
  return merged;
}

} // namespace heatherdeal::resumption
