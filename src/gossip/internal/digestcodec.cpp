#include "gossip/internal/digestcodec.h"

#include <istream>
#include <sstream>

#include "protocol/binaryarchive.h"

namespace heatherdeal::gossip {

namespace {

using protocol::InputArchive;
using protocol::LoadCount;
using protocol::OutputArchive;

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
  std::string text(LoadCount<uint8_t>(aArchive, kMaxNameBytes), '\0');
  aArchive.loadBinary<1>(text.data(),
                         static_cast<std::streamsize>(text.size()));
  return text;
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

void
Save(OutputArchive& aArchive, const TopicMessage& aMessage)
{
  SaveText(aArchive, aMessage.m_topic);
  aArchive(static_cast<uint16_t>(aMessage.m_payload.size()));
  aArchive.saveBinary<1>(
    aMessage.m_payload.data(),
    static_cast<std::streamsize>(aMessage.m_payload.size()));
}

TopicMessage
LoadTopicMessage(InputArchive& aArchive)
{
  TopicMessage message;
  message.m_topic = LoadText(aArchive);
  message.m_payload.resize(LoadCount<uint16_t>(aArchive, kMaxTopicBytes));
  aArchive.loadBinary<1>(
    message.m_payload.data(),
    static_cast<std::streamsize>(message.m_payload.size()));
  return message;
}

/// Reads the topic messages, which digests of earlier releases end without.
void
LoadTopicMessages(std::istream& aStream,
                  InputArchive& aArchive,
                  Digest& aDigest)
{
  if (aStream.peek() == std::istream::traits_type::eof()) {
    return;
  }
  const auto count = LoadCount<uint8_t>(aArchive, kMaxTopicMessagesPerDigest);
  for (uint8_t i = 0; i < count; ++i) {
    aDigest.m_topicMessages.push_back(LoadTopicMessage(aArchive));
  }
}

Digest
LoadDigest(InputArchive& aArchive)
{
  Digest digest;
  const auto hostCount = LoadCount<uint8_t>(aArchive, kMaxHostsPerDigest);
  for (uint8_t i = 0; i < hostCount; ++i) {
    digest.m_hosts.push_back(LoadHostStatus(aArchive));
  }
  const auto versionCount = LoadCount<uint8_t>(aArchive, kMaxVersionsPerDigest);
  for (uint8_t i = 0; i < versionCount; ++i) {
    digest.m_versions.push_back(LoadVersion(aArchive));
  }
  const auto changesCount =
    LoadCount<uint8_t>(aArchive, kMaxMissedChangesPerDigest);
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
    if (!aDigest.m_topicMessages.empty()) {
      archive(static_cast<uint8_t>(aDigest.m_topicMessages.size()));
    }
    for (const TopicMessage& message : aDigest.m_topicMessages) {
      Save(archive, message);
    }
  }
  const std::string text = stream.str();
  const auto* begin = reinterpret_cast<const std::byte*>(text.data());
  return { begin, begin + text.size() };
}

absl::StatusOr<Digest>
Decode(std::span<const std::byte> aBytes)
{
  return protocol::DecodeArchive(
    aBytes,
    "digest",
    "a complete digest within its size limits",
    [](InputArchive& aArchive, std::istream& aStream) {
      Digest digest = LoadDigest(aArchive);
      LoadTopicMessages(aStream, aArchive, digest);
      return digest;
    });
}

} // namespace heatherdeal::gossip
