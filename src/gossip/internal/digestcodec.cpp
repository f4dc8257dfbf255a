#include "gossip/internal/digestcodec.h"

#include <istream>
#include <sstream>
#include <streambuf>

#include "cereal/archives/portable_binary.hpp"

#include "core/failure.h"

namespace heatherdeal::gossip {

namespace {

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

/// Thrown if a decoded count or length exceeds its limit.
struct LimitExceeded : std::exception
{};

/// Stream buffer that reads from a span without copying it.
class SpanBuffer : public std::streambuf
{
public:
  explicit SpanBuffer(std::span<const std::byte> aBytes)
  {
    char* begin =
      const_cast<char*>(reinterpret_cast<const char*>(aBytes.data()));
    setg(begin, begin, begin + aBytes.size());
  }
};

// cereal allocates memory for any length that it reads from the input, so
// lengths are read and checked here instead.

void
SaveText(OutputArchive& aArchive, std::string_view aText)
{
  aArchive(static_cast<uint8_t>(aText.size()));
  aArchive.saveBinary<1>(aText.data(),
                         static_cast<std::streamsize>(aText.size()));
}

std::string
LoadText(InputArchive& aArchive)
{
  uint8_t size = 0;
  aArchive(size);
  if (size > kMaxNameBytes) {
    throw LimitExceeded();
  }
  std::string text(size, '\0');
  aArchive.loadBinary<1>(text.data(), size);
  return text;
}

uint8_t
LoadCount(InputArchive& aArchive, size_t aMaxCount)
{
  uint8_t count = 0;
  aArchive(count);
  if (count > aMaxCount) {
    throw LimitExceeded();
  }
  return count;
}

void
Save(OutputArchive& aArchive, const HostStatus& aStatus)
{
  SaveText(aArchive, aStatus.m_host);
  aArchive(aStatus.m_incarnation,
           aStatus.m_heartbeat,
           static_cast<uint8_t>(aStatus.m_leaving ? 1 : 0),
           aStatus.m_generation);
}

HostStatus
LoadHostStatus(InputArchive& aArchive)
{
  HostStatus status;
  uint8_t leaving = 0;
  status.m_host = LoadText(aArchive);
  aArchive(
    status.m_incarnation, status.m_heartbeat, leaving, status.m_generation);
  status.m_leaving = leaving != 0;
  return status;
}

void
Save(OutputArchive& aArchive, const VersionUpdate& aUpdate)
{
  SaveText(aArchive, aUpdate.m_weights);
  aArchive(aUpdate.m_version.m_number);
}

VersionUpdate
LoadVersion(InputArchive& aArchive)
{
  VersionUpdate update;
  update.m_weights = LoadText(aArchive);
  aArchive(update.m_version.m_number);
  return update;
}

void
Save(OutputArchive& aArchive, const MissedChanges& aChanges)
{
  SaveText(aArchive, aChanges.m_kind);
  aArchive(aChanges.m_revision);
}

MissedChanges
LoadMissedChanges(InputArchive& aArchive)
{
  MissedChanges changes;
  changes.m_kind = LoadText(aArchive);
  aArchive(changes.m_revision);
  return changes;
}

Digest
LoadDigest(InputArchive& aArchive)
{
  Digest digest;
  const uint8_t hostCount = LoadCount(aArchive, kMaxHostsPerDigest);
  for (uint8_t i = 0; i < hostCount; ++i) {
    digest.m_hosts.push_back(LoadHostStatus(aArchive));
  }
  const uint8_t versionCount = LoadCount(aArchive, kMaxVersionsPerDigest);
  for (uint8_t i = 0; i < versionCount; ++i) {
    digest.m_versions.push_back(LoadVersion(aArchive));
  }
  const uint8_t changesCount = LoadCount(aArchive, kMaxMissedChangesPerDigest);
  for (uint8_t i = 0; i < changesCount; ++i) {
    digest.m_missedChanges.push_back(LoadMissedChanges(aArchive));
  }
  return digest;
}

} // namespace

std::vector<std::byte>
Encode(const Digest& aDigest)
{
  std::ostringstream stream;
  {
    OutputArchive archive(stream);
    archive(static_cast<uint8_t>(aDigest.m_hosts.size()));
    for (const HostStatus& status : aDigest.m_hosts) {
      Save(archive, status);
    }
    archive(static_cast<uint8_t>(aDigest.m_versions.size()));
    for (const VersionUpdate& update : aDigest.m_versions) {
      Save(archive, update);
    }
    archive(static_cast<uint8_t>(aDigest.m_missedChanges.size()));
    for (const MissedChanges& changes : aDigest.m_missedChanges) {
      Save(archive, changes);
    }
  }
  const std::string text = stream.str();
  const auto* begin = reinterpret_cast<const std::byte*>(text.data());
  return { begin, begin + text.size() };
}

absl::StatusOr<Digest>
Decode(std::span<const std::byte> aBytes)
{
  try {
    SpanBuffer buffer(aBytes);
    std::istream stream(&buffer);
    InputArchive archive(stream);
    return LoadDigest(archive);
  } catch (const std::exception&) {
    return core::ToStatus(core::InvalidInput{
      "digest", "a complete digest within its size limits" });
  }
}

} // namespace heatherdeal::gossip
