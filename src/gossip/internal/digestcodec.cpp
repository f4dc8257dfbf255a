#include "gossip/internal/digestcodec.h"

#include <istream>
#include <sstream>
#include <streambuf>

#include "cereal/archives/portable_binary.hpp"

#include "core/failure.h"

namespace heatherdeal::gossip {

namespace {

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

/// Thrown if a decoded count or length exceeds its limit.
struct BoundExceeded : std::exception
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
SaveText(Output& aArchive, std::string_view aText)
{
  aArchive(static_cast<uint8_t>(aText.size()));
  aArchive.saveBinary<1>(aText.data(),
                         static_cast<std::streamsize>(aText.size()));
}

std::string
LoadText(Input& aArchive)
{
  uint8_t size = 0;
  aArchive(size);
  if (size > kMaxNameBytes) {
    throw BoundExceeded();
  }
  std::string text(size, '\0');
  aArchive.loadBinary<1>(text.data(), size);
  return text;
}

uint8_t
LoadCount(Input& aArchive, size_t aBound)
{
  uint8_t count = 0;
  aArchive(count);
  if (count > aBound) {
    throw BoundExceeded();
  }
  return count;
}

void
Save(Output& aArchive, const HostNews& aNews)
{
  SaveText(aArchive, aNews.m_host);
  aArchive(aNews.m_incarnation,
           aNews.m_heartbeat,
           static_cast<uint8_t>(aNews.m_leaving ? 1 : 0),
           aNews.m_generation);
}

HostNews
LoadHost(Input& aArchive)
{
  HostNews news;
  uint8_t leaving = 0;
  news.m_host = LoadText(aArchive);
  aArchive(news.m_incarnation, news.m_heartbeat, leaving, news.m_generation);
  news.m_leaving = leaving != 0;
  return news;
}

void
Save(Output& aArchive, const VersionNews& aNews)
{
  SaveText(aArchive, aNews.m_weights);
  aArchive(aNews.m_version.m_number);
}

VersionNews
LoadVersion(Input& aArchive)
{
  VersionNews news;
  news.m_weights = LoadText(aArchive);
  aArchive(news.m_version.m_number);
  return news;
}

void
Save(Output& aArchive, const KindNews& aNews)
{
  SaveText(aArchive, aNews.m_kind);
  aArchive(aNews.m_revision);
}

KindNews
LoadKind(Input& aArchive)
{
  KindNews news;
  news.m_kind = LoadText(aArchive);
  aArchive(news.m_revision);
  return news;
}

Digest
Load(Input& aArchive)
{
  Digest digest;
  const uint8_t hosts = LoadCount(aArchive, kMaxHostsPerDigest);
  for (uint8_t i = 0; i < hosts; ++i) {
    digest.m_hosts.push_back(LoadHost(aArchive));
  }
  const uint8_t versions = LoadCount(aArchive, kMaxVersionsPerDigest);
  for (uint8_t i = 0; i < versions; ++i) {
    digest.m_versions.push_back(LoadVersion(aArchive));
  }
  const uint8_t kinds = LoadCount(aArchive, kMaxKindsPerDigest);
  for (uint8_t i = 0; i < kinds; ++i) {
    digest.m_kinds.push_back(LoadKind(aArchive));
  }
  return digest;
}

} // namespace

std::vector<std::byte>
Encode(const Digest& aDigest)
{
  std::ostringstream stream;
  {
    Output archive(stream);
    archive(static_cast<uint8_t>(aDigest.m_hosts.size()));
    for (const HostNews& news : aDigest.m_hosts) {
      Save(archive, news);
    }
    archive(static_cast<uint8_t>(aDigest.m_versions.size()));
    for (const VersionNews& news : aDigest.m_versions) {
      Save(archive, news);
    }
    archive(static_cast<uint8_t>(aDigest.m_kinds.size()));
    for (const KindNews& news : aDigest.m_kinds) {
      Save(archive, news);
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
    Input archive(stream);
    return Load(archive);
  } catch (const std::exception&) {
    return core::ToStatus(core::InvalidInput{
      "digest", "a complete digest within its size limits" });
  }
}

} // namespace heatherdeal::gossip
