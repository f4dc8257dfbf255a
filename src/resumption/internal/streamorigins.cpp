#include "resumption/streamorigins.h"

#include "xxhash.h"

#include "core/failure.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "objectstore/hosts.h"
#include "objectstore/objectstore.h"
#include "resumption/internal/originjson.h"

namespace heatherdeal::resumption {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kObjectKind = "streamorigins";
constexpr core::Duration kMinSaveInterval = std::chrono::milliseconds(200);
// With this interval for each entry host, all of them together make a hundred
// calls to the store in a second at most.
constexpr core::Duration kSaveIntervalPerHost = std::chrono::milliseconds(20);
// An origin may be on its way to the store when it is looked up.
constexpr core::Duration kSecondLookDelay = std::chrono::milliseconds(300);

} // namespace

StreamOrigins::StreamOrigins(kernel::Context& aContext)
  : m_context(aContext)
  , m_saveTimer(aContext.Control(), [this] { SaveNextShard(); })
{
}

size_t
StreamOrigins::ShardOf(const StreamId& aStream)
{
  const std::string& id = aStream.m_value;
  return XXH64(id.data(), id.size(), 0) % kShards;
}

objectstore::ObjectKey
StreamOrigins::KeyOf(size_t aShard)
{
  return { std::string(kObjectKind), std::to_string(aShard) };
}

void
StreamOrigins::Record(const StreamId& aStream, const core::Software& aSoftware)
{
  const core::Instant now = kernel::Now();
  const StreamOrigin origin{ aStream, aSoftware, now + kOriginLifetime };
  {
    const std::scoped_lock lock(m_mutex);
    AddOrigin(m_table, origin, now);
    m_shards[ShardOf(aStream)].m_unsaved.push_back(origin);
  }
  m_context.Control().Post(
    [self = shared_from_this()] { self->ScheduleSave(); });
}

std::optional<core::Software>
StreamOrigins::FindLocally(const StreamId& aStream) const
{
  const std::scoped_lock lock(m_mutex);
  return FindSoftware(m_table, aStream, kernel::Now());
}

asio::awaitable<absl::StatusOr<core::Software>>
StreamOrigins::Find(size_t aLoopIndex, StreamId aStream)
{
  const auto self = shared_from_this();
  const size_t shard = ShardOf(aStream);
  core::Instant readAt = kernel::Now();
  for (const bool isSecondLook : { false, true }) {
    if (const auto software = FindLocally(aStream)) {
      co_return *software;
    }
    co_await kernel::SleepUntil(readAt);
    const absl::Status read = co_await ReadShard(aLoopIndex, shard);
    if (!read.ok() && isSecondLook) {
      co_return read;
    }
    readAt = kernel::Now() + kSecondLookDelay;
  }
  if (const auto software = FindLocally(aStream)) {
    co_return *software;
  }
  co_return core::ToStatus(core::SoftwareUnavailable{ aStream.m_value });
}

asio::awaitable<absl::Status>
StreamOrigins::ReadShard(size_t aLoopIndex, size_t aShard)
{
  auto result =
    std::make_shared<ReadResult>(m_context.Traffic().Loop(aLoopIndex));
  m_context.Control().Post([self = shared_from_this(), aShard, result] {
    self->m_shards[aShard].m_readers.push_back(result);
    self->StartRead(aShard);
  });
  co_return co_await result->Wait();
}

void
StreamOrigins::StartRead(size_t aShard)
{
  Shard& shard = m_shards[aShard];
  if (shard.m_isReading || shard.m_readers.empty()) {
    return;
  }
  shard.m_isReading = true;
  m_context.Get<objectstore::ObjectStore>()->Read(
    KeyOf(aShard),
    objectstore::CallPriority::Configuration,
    [self = shared_from_this(),
     aShard,
     readers = std::exchange(shard.m_readers, {})](
      const absl::StatusOr<objectstore::StoredObject>& aRead) {
      absl::Status status = absl::OkStatus();
      if (!aRead.ok()) {
        status =
          core::ToStatus(core::RecordUnavailable{ std::string(kObjectKind) });
      } else if (aRead->m_version != 0) {
        const auto origins = ParseOrigins(aRead->m_value, kernel::Now());
        status = origins.status();
        self->AddStored(origins.ok() ? std::span(*origins)
                                     : std::span<const StreamOrigin>());
      }
      for (const std::shared_ptr<ReadResult>& reader : readers) {
        reader->Set(status);
      }
      self->m_shards[aShard].m_isReading = false;
      self->StartRead(aShard);
    });
}

void
StreamOrigins::AddStored(std::span<const StreamOrigin> aOrigins)
{
  const std::scoped_lock lock(m_mutex);
  for (const StreamOrigin& origin : aOrigins) {
    AddOrigin(m_table, origin, kernel::Now());
  }
}

core::Duration
StreamOrigins::SaveInterval() const
{
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  const auto entryHosts = std::ranges::count(
    *hosts, objectstore::kEntryRole, &objectstore::HostEntry::m_service);
  return std::max<core::Duration>(kMinSaveInterval,
                                  entryHosts * kSaveIntervalPerHost);
}

void
StreamOrigins::ScheduleSave()
{
  if (!m_isSaving) {
    m_isSaving = true;
    m_saveTimer.Set(kernel::Now() + SaveInterval());
  }
}

void
StreamOrigins::SaveNextShard()
{
  std::vector<StreamOrigin> origins;
  {
    const std::scoped_lock lock(m_mutex);
    for (size_t i = 0; i < kShards && origins.empty(); ++i) {
      m_nextShard = (m_nextShard + 1) % kShards;
      origins = std::exchange(m_shards[m_nextShard].m_unsaved, {});
    }
  }
  if (origins.empty()) {
    m_isSaving = false;
    return;
  }
  m_context.Get<objectstore::ObjectStore>()->Read(
    KeyOf(m_nextShard),
    objectstore::CallPriority::Status,
    [self = shared_from_this(), shard = m_nextShard, origins](
      const absl::StatusOr<objectstore::StoredObject>& aRead) {
      if (aRead.ok()) {
        self->MergeAndWrite(shard, origins, *aRead);
      } else {
        self->FinishSave(shard, origins, false);
      }
    });
}

void
StreamOrigins::MergeAndWrite(size_t aShard,
                             std::vector<StreamOrigin> aOrigins,
                             const objectstore::StoredObject& aStored)
{
  const core::Instant now = kernel::Now();
  // What cannot be read is replaced: streams that it holds become unknown.
  const auto stored = aStored.m_version == 0
                        ? std::vector<StreamOrigin>()
                        : ParseOrigins(aStored.m_value, now)
                            .value_or(std::vector<StreamOrigin>());
  const std::vector<StreamOrigin> merged = MergeOrigins(stored, aOrigins, now);
  m_context.Get<objectstore::ObjectStore>()->Write(
    KeyOf(aShard),
    aStored.m_version,
    ToJson(merged, now),
    objectstore::CallPriority::Status,
    [self = shared_from_this(), aShard, origins = std::move(aOrigins)](
      const absl::StatusOr<uint64_t>& aVersion) {
      self->FinishSave(aShard, origins, aVersion.ok());
    });
}

void
StreamOrigins::FinishSave(size_t aShard,
                          std::span<const StreamOrigin> aOrigins,
                          bool aIsSaved)
{
  if (!aIsSaved) {
    m_context.Metrics().Get("resumption.saves_failed").Add();
    const core::Instant now = kernel::Now();
    const std::scoped_lock lock(m_mutex);
    for (const StreamOrigin& origin : aOrigins) {
      if (origin.m_expiresAt > now) {
        m_shards[aShard].m_unsaved.push_back(origin);
      }
    }
  }
  m_saveTimer.Set(kernel::Now() + SaveInterval());
}

boost::json::value
StreamOrigins::Dump() const
{
  const std::scoped_lock lock(m_mutex);
  size_t unsaved = 0;
  for (const Shard& shard : m_shards) {
    unsaved += shard.m_unsaved.size();
  }
  return { { "streams", m_table.m_byStream.size() }, { "unsaved", unsaved } };
}

} // namespace heatherdeal::resumption
